// Package common holds the dependencies that every part of a process is created with.
package common

import (
	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/transport"
)

// Common has the dependencies that all parts of a process share.
type Common struct {
	Log      *logrus.Entry
	Settings *config.Settings
	Clock    *clock.Clock
	// Security is nil if the connections between processes are neither encrypted nor authenticated.
	Security *transport.Security
}
