package app

import (
	"go.uber.org/zap"

	"gypsumlead/platform"
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
	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	Workers   platform.Workers
}
