package daemon

import "gypsumlead/settings"

// bodyShare is the share of the allowed memory for callers' bodies that are being read or served.
const bodyShare = 0.125

// limits bound what callers may take of the process.
type limits struct {
	bodies int64 // bytes
}

// limitsOf derives the limits from what the machine gives the process.
func limitsOf(conf settings.Settings) limits {
	memory := float64(conf.MemoryMB << 20)
	return limits{
		bodies: int64(memory * bodyShare),
	}
}
