package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const routedFile = `
node: {name: n1, zone: z, region: r}
addresses: {clients: "10.0.0.1:80", readiness: "10.0.0.1:81"}
store: {address: "10.0.0.9:90", partitions: 6}
stop: {grace: 4.8s}
`

func TestRoutedSettingsOverrideDefaults(t *testing.T) {
	is := is.New(t)
	read, err := ParseRouted("f", []byte(routedFile))
	is.NoErr(err)
	is.Equal(read.Store.Partitions, 6)
	is.Equal(read.Stop.Grace, 4800*time.Millisecond)
	is.Equal(read.Watch, DefaultRouted().Watch)
}

func TestZonesAreDecodedWithTheirRegions(t *testing.T) {
	is := is.New(t)
	read, err := ParseRouted("f", []byte(routedFile+`zones: {"z1":"r1","z2":"r2"}`))
	is.NoErr(err)
	is.Equal(read.Zones, map[string]string{"z1": "r1", "z2": "r2"})
	read, err = ParseRouted("f", []byte(routedFile+"zones: \n"))
	is.NoErr(err)
	is.Equal(len(read.Zones), 0)
	_, err = ParseRouted("f", []byte(routedFile+"zones: [z1]\n"))
	is.True(err != nil && strings.Contains(err.Error(), "zones"))
}

func TestAllFindingsOfRoutedSettingsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := ParseRouted("f", []byte(`
node: {name: n1, zone: z, region: r}
addresses:
  clients: "10.0.0.1:80"
  readiness: "10.0.0.1:80"
store:
  adress: "10.0.0.9:90"
  partitions: many
`))
	var findings *FindingsError
	is.True(errors.As(err, &findings))
	for _, part := range []string{
		"f:5: addresses.readiness: is the same as addresses.clients",
		"f:7: store.adress: unknown field; did you mean address?",
		`f:8: store.partitions: want a whole number, have "many"`,
		"store.address: missing",
	} {
		is.True(strings.Contains(err.Error(), part))
	}
}

func TestKeysAndLimitsAreDecodedAndChecked(t *testing.T) {
	is := is.New(t)
	read, err := ParseRouted("f", []byte(routedFile+"keys: {revocation: 5000ms}\nlimits: {window: 4s, overage: 0.2, slack: 7, way: shares}\n"))
	is.NoErr(err)
	is.Equal(read.Keys.Lease(), 4750*time.Millisecond)
	is.Equal(read.Limits, TenantLimits{Window: 4 * time.Second, Overage: 0.2, Slack: 7, Strategy: "shares"})
	read, err = ParseRouted("f", []byte(routedFile))
	is.NoErr(err)
	is.Equal(read.Keys.Lease(), time.Duration(0))
	_, err = ParseRouted("f", []byte(routedFile+"keys: {revocation: 2h}\nlimits: {window: 0s, overage: -1, way: luck}\n"))
	for _, part := range []string{"keys.revocation", "limits.window", "limits.overage", "limits.way: is \"luck\", want one of: allocator, shares"} {
		is.True(strings.Contains(err.Error(), part))
	}
}
