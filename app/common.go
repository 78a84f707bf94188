package app

import (
	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/backing/client"
	"gypsumlead/settings"
)

// common is what every part of the daemon needs.
type common struct {
	set  settings.Settings
	boot string
	log  *zap.Logger
}

// Platform is the platform's services as the daemon uses them.
type Platform struct {
	Table     backing.Table
	Objects   backing.Objects
	Instances backing.Instances
	Workers   backing.Workers
	Roster    backing.Roster
}

// OverHTTP returns the services of a platform's client.
func OverHTTP(c *client.Client) Platform {
	return Platform{
		Table:     c.Table,
		Objects:   c.Objects,
		Instances: c.Instances,
		Workers:   c.Workers,
		Roster:    c.Roster,
	}
}
