package wave

// Act is something to be done outside for an instance of a part.
type Act interface{ act() }

// Tell marks the taken boot as leaving at the platform.
type Tell struct{ Instance, Boot string }

// Ask asks every entry whether the drain is in force and nothing is in progress.
type Ask struct {
	Instance, Boot string
	Seq            int64
}

// Restart asks the platform to reboot the instance while Boot is its boot.
type Restart struct{ Instance, Boot string }

func (Tell) act()    {}
func (Ask) act()     {}
func (Restart) act() {}

// Due returns what is to be done now; a stopped wave reboots nothing.
func (p Part) Due(stopped bool) []Act {
	var acts []Act
	for _, it := range p.Items {
		switch it.State {
		case Taken:
			acts = append(acts, Tell{it.Instance, it.Boot})
		case Draining:
			acts = append(acts, Ask{it.Instance, it.Boot, it.Seq})
		case Quiet, Rebooting:
			if !stopped {
				acts = append(acts, Restart{it.Instance, it.Boot})
			}
		case Queued, Late, Returned, Dropped:
		}
	}
	return acts
}
