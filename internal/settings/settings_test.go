package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

const validSettings = `{
  // an agent on loopback
  "box": "b", "data_centre": "dc", "listen": "127.0.0.1:1", "admin": "127.0.0.1:2",
  "platform": {"store": "127.0.0.1:3", "boxes": "127.0.0.1:4"},
  "server": {"name": "s", "address": "127.0.0.1:5"},
}`

func TestDecodeAppliesDefaults(t *testing.T) {
	se, err := Decode([]byte(validSettings), "agent")
	require.NoError(t, err)
	require.Equal(t, Default().Limits, se.Limits)
	require.Equal(t, "info", se.LogLevel)
}

func TestDecodeNamesInvalidField(t *testing.T) {
	for _, tc := range []struct {
		field  string
		value  any
		code   result.Code
		detail string
	}{
		{"box", "", result.BadSettings, "box"},
		{"listen", "localhost:80", result.HostName, `listen: "localhost:80"`},
		{"listen", "10.0.0.1:80", result.BadSettings, "shared_key"},
		{"admin", "10.0.0.1:80", result.BadSettings, "operator_keys"},
		{"log_level", "loud", result.BadSettings, "log_level"},
		{"platform", map[string]any{"store": "consul.local:8500", "boxes": "127.0.0.1:4"}, result.HostName, "platform.store"},
		{"platform", map[string]any{"store": "127.0.0.1:3", "boxes": "127.0.0.1:4", "calls_per_second": 0}, result.BadSettings, "platform.calls_per_second"},
		{"limits", map[string]any{"retry_ratio": 3}, result.BadSettings, "limits.retry_ratio"},
		{"limits", map[string]any{"body": 3}, result.UnknownField, "body"},
		{"server", map[string]any{"name": "s", "address": "engine:80"}, result.HostName, "server.address"},
		{"server", map[string]any{}, result.BadSettings, "server.name"},
		{"operator_keys", []string{"abc"}, result.BadSettings, "operator_keys[0]"},
		{"colour", "red", result.UnknownField, "colour"},
	} {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(`{"box": "b", "data_centre": "dc", "listen": "127.0.0.1:1", "admin": "127.0.0.1:2",
			"platform": {"store": "127.0.0.1:3", "boxes": "127.0.0.1:4"}, "server": {"name": "s", "address": "127.0.0.1:5"}}`), &fields))
		fields[tc.field] = tc.value
		body, err := json.Marshal(fields)
		require.NoError(t, err)
		_, err = Decode(body, "agent")
		var er *result.Error
		require.ErrorAs(t, err, &er, tc.field)
		require.Equal(t, tc.code, er.Code(), "%s: %v", tc.field, err)
		require.Contains(t, err.Error(), tc.detail)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"limits": {"queue": -1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, err := Decode(data, "entry")
		if err == nil {
			require.NoError(t, se.Validate("entry"))
			return
		}
		var er *result.Error
		require.ErrorAs(t, err, &er)
	})
}
