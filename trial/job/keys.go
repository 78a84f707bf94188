package jobtrial

import (
	"fmt"

	"gypsumlead/job"
)

// startKey is the part of a try's ID that names the task.
func startKey(s job.Spec, index int) string {
	return fmt.Sprintf("%s.%d.%d", s.Name, s.Version, index)
}
