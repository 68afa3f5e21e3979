package meshsetting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/core/workcost"
)

const validSettings = `nodeName: "n"
failureDomain: "d"
service: "s"
entryAddress: "127.0.0.1:1"
peerAddress: "127.0.0.1:2"
readinessAddress: "127.0.0.1:3"
operatorPort: 7000
targetAddress: "127.0.0.1:4"
platformAddress: "127.0.0.1:5"
keyLeaseSeconds: 5
graceSeconds: 0.5
memoryMB: 284
`

func loadSettings(t *testing.T, text string) (meshsetting.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return meshsetting.Load(path)
}

// Guards against reading durations in another unit, and against missing defaults.
func TestSettingsUseSecondsAndDefaults(t *testing.T) {
	s, err := loadSettings(t, validSettings)
	assert.NilError(t, err)
	assert.Equal(t, s.GraceSeconds.Millis().Duration().String(), "500ms")
	assert.Equal(t, s.PeerAddrPort().Port(), uint16(2))
	assert.Equal(t, s.RetrySlack, 48.0)
	assert.Equal(t, s.CostPlacement, workcost.Auto)
	for _, mode := range []workcost.Mode{workcost.On, workcost.Off} {
		s, err := loadSettings(t, validSettings+"costPlacement: "+string(mode)+"\n")
		assert.NilError(t, err)
		assert.Equal(t, s.CostPlacement, mode)
	}
}

// Guards against starting a node with settings with which it can't work.
func TestInvalidSettingsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": validSettings + "entryAdress: x\n",
		"address":     strings.Replace(validSettings, "127.0.0.1:4", "target", 1),
		"missing":     strings.Replace(validSettings, "nodeName: \"n\"\n", "", 1),
		"duration":    strings.Replace(validSettings, "keyLeaseSeconds: 5", "keyLeaseSeconds: 0", 1),
		"placement":   validSettings + "costPlacement: always\n",
		"negative":    strings.Replace(validSettings, "memoryMB: 284", "memoryMB: -1", 1),
		"share":       validSettings + "headerMemoryShare: 1.5\n",
		"no number":   validSettings + "headerMemoryShare: .nan\n",
		"shares":      validSettings + "entryConnectionShare: 0.8\n",
		"probes":      validSettings + "probeConnections: -1\n",
		"stall":       validSettings + "responseStallSeconds: -1\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadSettings(t, text)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a platform without a bound for evacuations, whose template renders a null, and against a bound that is ignored.
func TestEvacuationsAreOffWithoutABound(t *testing.T) {
	for text, want := range map[string]meshsetting.Seconds{
		"": 0, "evacuationSeconds: \n": 0, "evacuationSeconds: 0\n": 0, "evacuationSeconds: 5\n": 5,
	} {
		s, err := loadSettings(t, validSettings+text)
		assert.NilError(t, err, "%q", text)
		assert.Equal(t, s.EvacuationSeconds, want, "%q", text)
	}
	_, err := loadSettings(t, validSettings+"evacuationSeconds: -1\n")
	assert.ErrorContains(t, err, "evacuationSeconds")
}
