package cli

// verbs lists every command, in the order of the help.
func verbs() []verb {
	return []verb{
		{"serve", "Runs the daemon of an entry instance.", "-settings FILE", "gypsumlead serve -settings entry-1.json", runServe},
		{"check", "Checks a settings file and names every fault in it.", "-settings FILE", "gypsumlead check -settings entry-1.json", runCheck},
		{"settings", "Prints the reference of the settings file, or its JSON Schema.", "[-schema]", "gypsumlead settings -schema", runSettings},
		{"status", "Shows what a daemon is and has in force.", "[-at ADDR] [-json]", "gypsumlead status -at 10.1.0.9:8622", runStatus},
		{"services", "Lists the services with who schedules them and how far they are.", "[-at ADDR,...] [-json]", "gypsumlead services -at 10.1.0.9:8622,10.2.0.9:8622", runServices},
		{"job", "Shows where a job stands.", "ID [-at ADDR] [-json]", "gypsumlead job 5c0e7a21d94b36f8 -at 10.1.0.9:8622", runJob},
		{"explain", "Tells the newest decisions on a job, an instance or a machine, from the daemons' memory.", "NAME [-at ADDR,...]", "gypsumlead explain 5c0e7a21d94b36f8 -at 10.1.0.9:8622,10.2.0.9:8622", runExplain},
		{"trace", "Tells the same from daemons' logs.", "NAME [-log FILE]", "gypsumlead trace 5c0e7a21d94b36f8 -log day.log", runTrace},
		{"demo", "Plays a day of jobs and a wave on embedded stand-ins and counts broken promises.", "[-seed N] [-duration D]", "gypsumlead demo -seed 1 -duration 20s", runDemo},
		{"trial", "Plays a load on virtual time under a way of deciding, and prints one JSON line.", "[-load NAME] [-way NAME] [-seed N]", "gypsumlead trial -load turns -way first", runTrial},
	}
}
