package workspace

// Caller is on whose behalf a request reads or cancels a job.
type Caller struct {
	Workspace string // that the caller's key belongs to; empty without a key
	Any       bool   // may see the jobs of all workspaces: operators, and callers while none is configured
}

// Anyone is the caller that may see all jobs.
func Anyone() Caller { return Caller{Any: true} }

// Of returns the caller with a key of a workspace, or without a key if name is empty.
func Of(name string) Caller { return Caller{Workspace: name} }

// MaySee reports whether the job of a workspace exists for the caller. A job without a workspace was submitted where no
// key was needed, so it exists for everybody, also after its route has come to need a key.
func (c Caller) MaySee(owner string) bool {
	return c.Any || owner == "" || owner == c.Workspace
}
