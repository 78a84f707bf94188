package wire

import (
	"time"

	"gypsumlead/backing"
)

// Paths of the list of instances and of the workers.
const (
	PathInstances = "/instances/list"
	PathDrain     = "/instances/drain"
	PathReboot    = "/instances/reboot"
	PathWorkers   = "/workers/list"
	PathStart     = "/workers/start"
	PathAct       = "/workers/act"
	PathReports   = "/workers/reports"
)

// Instances answers a request for the list of instances.
type Instances struct {
	Instances []backing.Instance `json:"instances"`
}

// Drain asks for an instance to be marked leaving while Boot is its boot.
type Drain struct {
	Instance string `json:"instance"`
	Boot     string `json:"boot"`
}

// Workers answers a request for the list of workers.
type Workers struct {
	Workers []backing.Worker `json:"workers"`
}

// Act asks for something to be done to a task.
type Act struct {
	Task  string          `json:"task"`
	Epoch int64           `json:"epoch"`
	Act   backing.TaskAct `json:"act"`
	Until time.Time       `json:"until"`
}

// Of asks for the reports of a worker.
type Of struct {
	Worker string `json:"worker"`
}

// Reports answers Of.
type Reports struct {
	Reports []backing.Report `json:"reports"`
}
