package daemon

import (
	"gypsumlead/member"
	"gypsumlead/peer"
)

// updatePeerTargets limits peer sessions to the daemons that lead a service or are planned to, and to minCarriers: no
// other daemon receives requests, and each session costs pings.
func (d *Daemon) updatePeerTargets() {
	live := d.members.Live()
	planned := map[string]bool{}
	for _, name := range member.Assign(d.services(), d.members.Candidates()) {
		planned[name] = true
	}
	var list []peer.Target
	for _, n := range live {
		if n.Name != d.settings.Instance && (len(n.Holds) > 0 || planned[n.Name]) {
			list = append(list, targetOf(n))
		}
	}
	var candidates []peer.Target
	for _, n := range d.members.Candidates() {
		candidates = append(candidates, targetOf(n))
	}
	d.mesh.SetTargets(addCarriers(d.settings.Instance, d.settings.Centre, list, candidates))
}

func targetOf(n member.Node) peer.Target {
	return peer.Target{Instance: n.Name, Addr: n.Peer, Centre: n.Centre}
}
