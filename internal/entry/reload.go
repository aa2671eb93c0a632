package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"
)

// settingsInterval is how often the settings file is compared, since it may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings checks the settings file after each SIGHUP and at each settingsInterval, and logs what a restart would
// change. A file that is invalid changes nothing. It returns when ctx ends.
func (l *lifecycle) watchSettings(ctx context.Context, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known := l.params.Settings
	for {
		signalled := false
		select {
		case <-hangup:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := Load(path)
		if err != nil {
			l.params.Log.Error("reload", "outcome", "settings are wrong, the present ones stay", "error", err.Error())
			continue
		}
		if changed := changedKeys(known, next); signalled || len(changed) > 0 {
			l.params.Log.Info("reload", "signal", signalled, "changed", changed, "outcome", "changed keys apply after a restart")
		}
		known = next
	}
}

// changedKeys returns the keys whose values differ.
func changedKeys(a, b Settings) []string {
	keys := []string{}
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			keys = append(keys, x.Type().Field(i).Tag.Get("toml"))
		}
	}
	return keys
}
