package daemon

import (
	"time"

	"gypsumlead/admission"
	"gypsumlead/settings"
)

// Shares of the allowed memory, and what a connection takes of it at the most without its body.
const (
	bodyShare        = 0.125    // for callers' bodies that are being read or served
	connMemoryShare  = 0.25     // for callers' connections
	memoryPerConn    = 32 << 10 // bytes: a goroutine, its buffers and a request's header
	reservedFiles    = 200      // descriptors that the platform keeps for files
	callerFilesShare = 0.25     // of the other descriptors; the store, runners and other daemons need the rest
	readyFilesShare  = 0.03     // of the other descriptors, for the balancer and operators
	minReadyConns    = 16
	peerFilesShare   = 0.125 // of the other descriptors, for sessions that other daemons open
	maxPeerSessions  = 512
)

// guardTimes returns how long clients may hold their connections. A body of full size takes a second at 2 Mbit/s.
func guardTimes() admission.Times {
	return admission.Times{Unread: 5 * time.Second, Answer: 15 * time.Second}
}

// limits bound what others may take of the process.
type limits struct {
	bodies  int64 // bytes
	callers int   // connections
	ready   int   // connections to the readiness port
	peers   int   // sessions that other daemons open
}

// limitsOf derives the limits from what the machine gives the process.
func limitsOf(conf settings.Settings) limits {
	memory := float64(conf.MemoryMB << 20)
	sockets := float64(conf.MaxFiles - reservedFiles)
	return limits{
		bodies:  int64(memory * bodyShare),
		callers: int(min(sockets*callerFilesShare, memory*connMemoryShare/memoryPerConn)),
		peers:   min(maxPeerSessions, int(sockets*peerFilesShare)),
		ready:   max(minReadyConns, int(sockets*readyFilesShare)),
	}
}
