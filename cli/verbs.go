package cli

// verbs lists every command, in the order of the help.
func verbs() []verb {
	return []verb{
		{"serve", "Runs the daemon of an entry instance.", "-settings FILE", "gypsumlead serve -settings entry-1.json", runServe},
		{"fleet", "Runs the daemon of an entry instance on the users' platform.", "-settings FILE", "gypsumlead fleet -settings entry-1.json", runFleet},
		{"check", "Checks a settings file and names every fault in it.", "-settings FILE [-fleet]", "gypsumlead check -settings entry-1.json", runCheck},
		{"trace", "Tells the story of a job from daemons' logs.", "ID [-log FILE]", "gypsumlead trace 5c0e7a21d94b36f8 -log day.log", runTrace},
		{"demo", "Plays a day of jobs and a wave on embedded stand-ins and counts broken promises.", "[-seed N] [-duration D]", "gypsumlead demo -seed 1 -duration 20s", runDemo},
		{"calls", "Plays callers' plain requests on embedded stand-ins and counts breaches.", "[-seed N] [-duration D]", "gypsumlead calls -seed 1 -duration 20s", runDemoCalls},
		{"trial", "Measures one decision on virtual time and prints one JSON line.", "NAME [flags]", "gypsumlead trial flood -seed 1", runTrial},
		{"status", "Shows what a daemon is and has in force.", "[-at ADDR]", "gypsumlead status -at 127.0.0.1:8081", runStatus},
		{"list", "Lists the records of a kind: pool, service, member, drain, wave, job, team.", "KIND [-json]", "gypsumlead list pool", runList},
		{"get", "Shows one record.", "KIND NAME [-json]", "gypsumlead get pool texts", runGet},
		{"put", "Makes or changes a record from a JSON file.", "KIND NAME -file FILE [-version N] [-why TEXT]", "gypsumlead put pool texts -file texts.json -why 'first pool'", runPut},
		{"delete", "Deletes a record.", "KIND NAME -version N [-why TEXT]", "gypsumlead delete pool texts -version 7", runDelete},
		{"instances", "Lists the platform's instances with their pools.", "[-json]", "gypsumlead instances", runInstances},
		{"move", "Puts an instance into a pool.", "INSTANCE -to POOL [-from POOL] [-why TEXT]", "gypsumlead move runner-7 -from accounts -to texts", runMove},
		{"wave", "Shows, pauses, resumes or cancels a maintenance wave.", "status|pause|resume|cancel NAME [-why TEXT]", "gypsumlead wave pause kernel-12 -why 'rack a3 is slow'", runWave},
		{"job", "Shows where a job stands.", "NAME [-json]", "gypsumlead job nightly-summary", runJob},
		{"explain", "Prints every decision on something, refused ones too.", "KIND NAME [-json]", "gypsumlead explain pool texts", runExplain},
		{"settings", "Prints the reference of the settings file, or its JSON Schema.", "[-fleet] [-schema]", "gypsumlead settings -fleet -schema", runSettings},
	}
}
