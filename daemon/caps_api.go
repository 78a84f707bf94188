package daemon

import (
	"context"

	"gypsumlead/api/oas"
	"gypsumlead/work"
)

// ListWorkspaces returns the workspaces with a cap that have or need any of it, if this daemon is the granter.
func (o operatorAPI) ListWorkspaces(context.Context) ([]oas.Workspace, error) {
	list := []oas.Workspace{}
	for _, s := range o.d.capStates() {
		list = append(list, oas.Workspace{
			Name: s.Name, Cap: apiAmount(s.Cap), Granted: apiAmount(s.Granted), Running: apiAmount(s.Used), Waiting: apiAmount(s.Waiting),
		})
	}
	return list, nil
}

func apiAmount(a work.Resources) oas.Amount {
	return oas.Amount{CPU: a.CPU, Mem: a.Mem, Gpu: a.GPU}
}
