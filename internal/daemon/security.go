package daemon

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/settings"
)

// keyReloadInterval is the time between two checks of the key and certificate files for changes.
const keyReloadInterval = 2 * time.Second

// LoadSecurity loads the key and certificate files. It returns the settings of connections
// between processes, and a function that reloads the files when they change, until its context
// ends. With insecure_plain it loads nothing, connections have no TLS, and the function does
// nothing.
func LoadSecurity(s settings.TLS, file string, log *eventlog.Logger) (peer.Security, func(context.Context), error) {
	if s.InsecurePlain {
		return peer.Security{}, func(context.Context) {}, nil
	}
	keys, err := peer.LoadKeys(s.Cert, s.Key, s.CA)
	if err != nil {
		return peer.Security{}, nil, &settings.Error{File: file, Key: "tls", Reason: err.Error()}
	}
	watchKeys := func(ctx context.Context) {
		keys.Watch(ctx, keyReloadInterval, func(err error) {
			if err != nil {
				log.Emit(eventlog.TLSReloadFailed, eventlog.Fields{Step: "reload keys", Err: err})
				return
			}
			log.Emit(eventlog.TLSReloaded, eventlog.Fields{Step: "reload keys"})
		})
	}
	return peer.Security{TLS: keys.Config}, watchKeys, nil
}
