package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/testseed"
)

// TestMain fixes rapid's seed unless a flag sets it.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.seed": "1"})
}

const whole = `node:
  name: quito-1
  zone: quito-centro
  region: sierra-norte
addresses:
  callers: 127.0.0.11:8080
  operators: 127.0.0.11:8081
  peer: 127.0.0.11:7000
  probe: 127.0.0.11:7000
seeds: ["127.0.0.12:7000"]
platform:
  log_service: 127.0.0.2:9000
  machine_list: 127.0.0.2:9001
  weight_store: 127.0.0.2:9002
shards:
  count: 64
  lease_duration: 6s
`

func findingsOf(t *testing.T, err error) []string {
	t.Helper()
	var report *settings.FindingsError
	if !errors.As(err, &report) {
		t.Fatalf("want findings, have %v", err)
	}
	lines := make([]string, 0, len(report.Findings))
	for _, finding := range report.Findings {
		lines = append(lines, finding.String())
	}
	return lines
}

func TestFileOverridesDefaults(t *testing.T) {
	is := is.New(t)
	result, err := settings.Parse("node.yaml", []byte(whole), settings.Flags{})
	is.NoErr(err)
	is.Equal(result.Shards.Count, 64)
	is.Equal(result.Shards.LeaseDuration, 6*time.Second)
	is.Equal(result.Shards.LeaseRenewal, settings.Default().Shards.LeaseRenewal) // not in the file
	is.Equal(result.Addresses.Peer.String(), "127.0.0.11:7000")
	is.Equal(len(result.Seeds), 1)
}

func TestFlagsOverrideTheFile(t *testing.T) {
	is := is.New(t)
	result, err := settings.Parse("node.yaml", []byte(whole), settings.Flags{
		Zone: "cumbaya", Seeds: []string{"127.0.0.13:7000", "127.0.0.14:7000"}, Set: []string{"drain.timeout=9s"},
	})
	is.NoErr(err)
	is.Equal(string(result.Node.Zone), "cumbaya")
	is.Equal(len(result.Seeds), 2)
	is.Equal(result.Drain.Timeout, 9*time.Second)
}

func TestFlagsWithoutAFile(t *testing.T) {
	is := is.New(t)
	result, err := settings.Parse("", nil, settings.Flags{
		Name: "n1", Zone: "a", Region: "r", Callers: "127.0.0.1:1", Operators: "127.0.0.1:2", Peer: "127.0.0.1:3",
		Probe: "127.0.0.1:3", LogService: "127.0.0.1:4", MachineList: "127.0.0.1:5", WeightStore: "127.0.0.1:6",
	})
	is.NoErr(err)
	is.Equal(result.Shards.Count, settings.Default().Shards.Count)
}

func TestAllFindingsAreReportedWithPlaces(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		"zone: quito-centro", "zoen: quito-centro",
		"peer: 127.0.0.11:7000", "peer: quito-1:7000",
		"operators: 127.0.0.11:8081", "operators: 127.0.0.11:8080",
		"count: 64", "count: 0",
	).Replace(whole)
	_, err := settings.Parse("node.yaml", []byte(text), settings.Flags{LogLevel: "loud", Set: []string{"drain.timeout=soon"}})
	is.Equal(findingsOf(t, err), []string{
		`node.yaml:3: node.zoen: unknown field; did you mean zone?`,
		`node.yaml:8: addresses.peer: want an IP number and port such as 10.0.0.1:7000, have "quito-1:7000"`,
		`flag --set: drain.timeout: want a duration such as 500ms or 5s, have "soon"`,
		`node.yaml:1: node.zone: missing`,
		`node.yaml:16: shards.count: is 0, at least 1 is needed`,
		`flag --log-level: logging.level: is "loud", want one of: debug, info, warn, error`,
		`node.yaml:7: addresses.operators: is the same as addresses.callers`,
	})
}

// TestEveryTextGivesSettingsOrFindings parses corrupted files and checks that the result is
// valid settings or a *FindingsError.
func TestEveryTextGivesSettingsOrFindings(t *testing.T) {
	lines := strings.SplitAfter(whole, "\n")
	pieces := append(lines, "  ", "- ", "[", "{", "}", ": ", "\"", "'", "&a ", "*a", "|\n", "!!int ", "\x00", "\xff", "\t", "---\n", "null\n", "1e999\n", "# ")
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(t, "pieces"), "")
		result, err := settings.Parse("node.yaml", []byte(text), settings.Flags{})
		var report *settings.FindingsError
		if err != nil && (!errors.As(err, &report) || len(report.Findings) == 0) {
			t.Fatalf("want a FindingsError with findings, have %v", err)
		}
		if err == nil && result.Node.Name == "" {
			t.Fatal("invalid settings were accepted: the node has no name")
		}
	})
}

func TestMalformedFilesAreReportedAsFindings(t *testing.T) {
	for name, text := range map[string]string{
		"not YAML":       "node: [",
		"a list":         "- node\n",
		"a bare word":    "node\n",
		"two documents":  whole + "---\nnode: {}\n",
		"a key twice":    whole + "shards:\n  count: 1\n",
		"section scalar": "node: quito-1\n",
		"empty":          "",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("node.yaml", []byte(text), settings.Flags{})
			for _, line := range findingsOf(t, err) {
				if !strings.HasPrefix(line, "node.yaml") {
					t.Errorf("finding does not name the file: %s", line)
				}
				t.Log(line)
			}
		})
	}
}
