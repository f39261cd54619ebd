package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/command"
	"github.com/linnetrudder/linnetrudder/internal/settings"
)

const entrySettings = `{
  // an entry on loopback
  "box": "e", "data_centre": "dc", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "shared_key": "secret",
  "platform": {"store": "127.0.0.1:3", "boxes": "127.0.0.1:4"}
}`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckPrintsTheEffectiveSettings(t *testing.T) {
	var out, errOut bytes.Buffer
	code := execute([]string{"check", "--settings", writeSettings(t, entrySettings)}, &out, &errOut)
	require.Equal(t, command.OK, code, errOut.String())
	var se settings.Settings
	require.NoError(t, json.Unmarshal(out.Bytes(), &se))
	require.Equal(t, settings.Default().Limits, se.Limits)
	require.NotContains(t, out.String(), "secret")
}

func TestCheckReportsFieldAndCode(t *testing.T) {
	var out, errOut bytes.Buffer
	path := writeSettings(t, `{"box": "e", "data_centre": "dc", "listen": "localhost:80", "admin": "127.0.0.1:1"}`)
	require.Equal(t, command.Failed, execute([]string{"check", "--settings", path}, &out, &errOut))
	require.Contains(t, errOut.String(), "604 host_name")
	require.Contains(t, errOut.String(), `listen: "localhost:80"`)
}

func TestInvalidCommandLineExitsWithUsage(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, command.Usage, execute([]string{"serve"}, &out, &errOut))
	require.Equal(t, command.Usage, execute([]string{"check", "--role", "other", "--settings", "x"}, &out, &errOut))
	require.NotEmpty(t, errOut.String())
}

func TestMissingSettingsFileFails(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, command.Failed, execute([]string{"entry", "--settings", "/nonexistent"}, &out, &errOut))
	require.Contains(t, errOut.String(), "read settings")
}

func TestCheckGatewaySettings(t *testing.T) {
	valid := `node_name = "f"
zone = "z"
[listen]
frontend = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
`
	var out, errOut bytes.Buffer
	require.Equal(t, command.OK, execute([]string{"check", "--role", "gateway", "--settings", writeSettings(t, valid)}, &out, &errOut), errOut.String())
	require.Contains(t, out.String(), `"data_centre": "z"`)
	invalid := valid[:len(valid)-20]
	require.Equal(t, command.Failed, execute([]string{"check", "--role", "gateway", "--settings", writeSettings(t, invalid)}, &out, &errOut))
	require.Contains(t, errOut.String(), "60")
}
