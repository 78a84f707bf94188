package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"gypsumlead/configcheck"
	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// configReport is the result of checking a configuration, as printed with -json.
type configReport struct {
	Version  int64                 `json:"version,omitempty"`
	Errors   int                   `json:"errors"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Group   `json:"changes,omitzero"` // present if there is a current version to compare with
}

// runCheck checks a settings file, or a configuration that an operator is about to send.
func runCheck(_ context.Context, e *env, args []string) error {
	fs := e.flags()
	settingsPath := fs.String("settings", "", "settings `FILE`")
	config := fs.String("config", "", "`FILE` with the operator's configuration, as in its row of the store")
	current := fs.String("current", "", "`FILE` with the configuration in force, to compare with")
	machine := fs.String("machine", "", "size of the smallest machine, as `CORES/MB/GPUS`")
	asJSON := fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	switch {
	case *settingsPath == "" && *config == "":
		return usageError{"-settings or -config is required"}
	case *settingsPath != "" && (*config != "" || *current != "" || *machine != "" || *asJSON):
		return usageError{"-settings can't be combined with other flags"}
	case *settingsPath != "":
		return checkSettings(e, *settingsPath)
	}
	bounds := configcheck.Bounds{Row: leader.MaxRowBytes}
	if *machine != "" {
		size, err := parseAmount(*machine)
		if err != nil {
			return err
		}
		bounds.Machine = size
	}
	report, err := checkConfig(*config, *current, bounds)
	if err != nil {
		return err
	}
	return printReport(e, report, *asJSON)
}

// parseAmount parses an amount in the form that amountText prints.
func parseAmount(text string) (work.Resources, error) {
	var cores float64
	var r work.Resources
	var rest string
	n, _ := fmt.Sscanf(text+" .", "%g/%d/%d %s", &cores, &r.Mem, &r.GPU, &rest) // n tells how much was parsed
	if n != 4 || rest != "." || !(cores >= 0 && cores < 1e9) || r.Mem < 0 || r.GPU < 0 {
		return work.Resources{}, usageError{"-machine must have the form CORES/MB/GPUS, such as 64/262144/0"}
	}
	r.CPU = int64(cores * 1000)
	return r, nil
}

// checkConfig reads and checks a configuration. It compares it with the current one unless that has no path.
func checkConfig(path, currentPath string, bounds configcheck.Bounds) (configReport, error) {
	report := configReport{Findings: []configcheck.Finding{}}
	next, refused, err := readConfig(path)
	if err != nil {
		return report, err
	}
	if refused != nil {
		report.Findings = append(report.Findings, configcheck.Refused(refused))
	} else {
		report.Version = next.Version
		report.Findings = append(report.Findings, configcheck.Check(next, bounds)...)
	}
	if currentPath != "" {
		current, currentRefused, err := readConfig(currentPath)
		switch {
		case err != nil:
			return report, err
		case currentRefused != nil:
			report.Findings = append(report.Findings, configcheck.RefusedCurrent(currentRefused))
		case refused == nil:
			report.Findings = append(report.Findings, configcheck.CheckVersion(current, next)...)
			report.Changes = configcheck.Compare(current, next)
		}
	}
	report.Errors = configcheck.Errors(report.Findings)
	return report, nil
}

// readConfig reads and decodes a configuration. The first error is the decoder's, the second one that of reading the file.
func readConfig(path string) (c platform.Config, refused, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return platform.Config{}, nil, fault.Wrap(fault.Invalid, err, "read the configuration")
	}
	c, refused = platform.DecodeConfig(data)
	return c, refused, nil
}

// printReport prints the result of a check and returns an error if there are errors in it.
func printReport(e *env, r configReport, asJSON bool) error {
	if asJSON {
		if err := printJSON(e, r); err != nil {
			return err
		}
	} else {
		writeReport(e.out, r)
	}
	if r.Errors > 0 {
		return fault.New(fault.Invalid, "the configuration has errors: %d", r.Errors)
	}
	return nil
}

func writeReport(w io.Writer, r configReport) {
	writeFindings(w, r.Findings)
	for _, g := range r.Changes {
		fmt.Fprintf(w, "%s:\n\n", effectTitle(g.Effect))
		writeFindings(w, g.Findings)
	}
	switch {
	case r.Changes != nil && len(r.Changes) == 0:
		fmt.Fprintf(w, "version %d changes nothing for callers; errors: %d, notes: %d\n", r.Version, r.Errors, len(r.Findings)-r.Errors)
	case r.Version > 0:
		fmt.Fprintf(w, "version %d; errors: %d, notes: %d\n", r.Version, r.Errors, len(r.Findings)-r.Errors)
	}
}

func writeFindings(w io.Writer, findings []configcheck.Finding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s: %s\n    %s\n", f.Severity, f.Path, f.Problem)
		if f.Advice != "" {
			fmt.Fprintf(w, "    %s\n", f.Advice)
		}
		fmt.Fprintln(w)
	}
}

func effectTitle(e configcheck.Effect) string {
	switch e {
	case configcheck.Refusals:
		return "Requests that will be refused"
	case configcheck.Admissions:
		return "Requests that will be admitted"
	case configcheck.Handling:
		return "Requests that will be handled differently"
	case configcheck.Capacity:
		return "Caps, weights and services"
	}
	return string(e)
}
