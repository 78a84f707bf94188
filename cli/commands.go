package cli

// commands returns all commands, in the order of the help.
func commands() []command {
	return []command{
		{"serve", "Run the daemon of an entry instance.", "-settings FILE", "gypsumlead serve -settings entry-1.json", runServe},
		{"check", "Check a settings file, or an operator's configuration before it is sent, and print every problem in it.", "-settings FILE | -config FILE [-current FILE] [-machine CORES/MB/GPUS] [-json]", "gypsumlead check -config next.json -current now.json", runCheck},
		{"settings", "Print the reference of the settings file, or its JSON Schema.", "[-schema]", "gypsumlead settings -schema", runSettings},
		{"status", "Show a daemon's state and its configuration version.", "[-at ADDR] [-json]", "gypsumlead status -at 10.1.0.9:8622", runStatus},
		{"services", "List the services with their leaders and progress.", "[-at ADDR,...] [-json]", "gypsumlead services -at 10.1.0.9:8622,10.2.0.9:8622", runServices},
		{"workspaces", "List the workspaces with a cap and what they use of it.", "[-at ADDR,...] [-json]", "gypsumlead workspaces -at 10.1.0.9:8622,10.2.0.9:8622", runWorkspaces},
		{"job", "Show the state of a job.", "ID [-at ADDR] [-json]", "gypsumlead job 5c0e7a21d94b36f8 -at 10.1.0.9:8622", runJob},
		{"explain", "Show recent decisions about a job, an instance or a machine, from the daemons' memory.", "NAME [-at ADDR,...]", "gypsumlead explain 5c0e7a21d94b36f8 -at 10.1.0.9:8622,10.2.0.9:8622", runExplain},
		{"trace", "Show decisions about a job, an instance or a machine, from the daemons' logs.", "NAME [-log FILE]", "gypsumlead trace 5c0e7a21d94b36f8 -log day.log", runTrace},
		{"demo", "Run a day of jobs and a wave on an emulated platform and count violations.", "[-seed N] [-duration D]", "gypsumlead demo -seed 1 -duration 20s", runDemo},
		{"trial", "Simulate a load on virtual time with a scheduling strategy and print one JSON line.", "[-load NAME] [-way NAME] [-seed N]", "gypsumlead trial -load turns -way first", runTrial},
	}
}
