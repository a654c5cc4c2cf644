package main

import (
	"encoding/json"
	"strings"
	"testing"

	schema "lavenderdeal/schema/settings"
)

const settingsYAML = `zone: catania
service: availability
server: {address: 127.0.0.1:8101, slots: 18}
listen: {caller: 127.0.0.1:7101, peer: 127.0.0.1:7102, call: 127.0.0.1:7103, operator: 127.0.0.1:7104}
platform: {address: 127.0.0.1:7000, token: token-in-the-file}
peerKey: peer-key-in-the-file
`

// TestSettingsPrint guards against a wrong precedence of file, environment and flags,
// against keys in the output or in errors, and against faults that are not reported.
func TestSettingsPrint(t *testing.T) {
	env := &testEnv{}
	file := writeFile(t, "node.yaml", settingsYAML)
	read := func(t *testing.T, args ...string) schema.Settings {
		t.Helper()
		env.run(t, exitOK, append([]string{"settings", "print", "--config", file, "-o", "json"}, args...)...)
		var cfg schema.Settings
		if err := json.Unmarshal([]byte(env.stdout), &cfg); err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	t.Run("file and defaults", func(t *testing.T) {
		cfg := read(t)
		if cfg.Zone != "catania" || cfg.Server.Connections != 120 || cfg.Region != "default" {
			t.Errorf("settings %+v", cfg)
		}
	})
	t.Run("environment overrides file, flags override environment", func(t *testing.T) {
		t.Setenv("LAVENDERDEAL_ZONE", "palermo")
		t.Setenv("LAVENDERDEAL_SERVER_SLOTS", "5")
		cfg := read(t, "--server-slots", "6", "--platform-timeout", "7s")
		if cfg.Zone != "palermo" || cfg.Server.Slots != 6 || cfg.Platform.Timeout.String() != "7s" {
			t.Errorf("settings %+v", cfg)
		}
	})
	t.Run("keys are hidden", func(t *testing.T) {
		t.Setenv("LAVENDERDEAL_OPERATOR_KEY", "operator-key-of-the-environment")
		for _, format := range []string{"text", "json"} {
			env.run(t, exitOK, "settings", "print", "--config", file, "-o", format)
			for _, key := range []string{"peer-key-in-the-file", "token-in-the-file", "operator-key-of"} {
				if strings.Contains(env.stdout+env.stderr, key) {
					t.Errorf("output contains the key %s", key)
				}
			}
		}
	})
	t.Run("every fault, and no key in it", func(t *testing.T) {
		env.run(t, exitFailed, "settings", "print", "--config", file,
			"--server-slots", "0", "--listen-peer", "nowhere", "--platform-timeout", "7", "--peer-key", "short-key")
		assertContains(t, env.stderr, "line 3: server.slots", "line 4: listen.peer", "platform.timeout", "peerKey")
		if strings.Contains(env.stderr, "short-key") {
			t.Errorf("the message contains a key:\n%s", env.stderr)
		}
	})
	t.Run("not a number", func(t *testing.T) {
		env.run(t, exitUsage, "settings", "print", "--config", file, "--server-slots", "many")
	})
}
