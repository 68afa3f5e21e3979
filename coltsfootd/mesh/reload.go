package mesh

import (
	"reflect"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/meshsetting"
)

// Reload logs whether the settings s, which were read again, differ from those in use, or that reading them failed with err.
// A running node keeps the settings with which it was started.
func (n *Node) Reload(s meshsetting.Settings, err error) {
	switch {
	case err != nil:
		_ = level.Error(n.logger).Log("part", "node", "msg", "failed to reload settings; keeping the current settings", "err", err)
	case reflect.DeepEqual(s, n.settings):
		_ = level.Info(n.logger).Log("part", "node", "msg", "settings reloaded, no changes")
	default:
		_ = level.Warn(n.logger).Log("part", "node", "msg", "settings have changed; restart the node to apply them")
	}
}
