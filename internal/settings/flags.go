package settings

import (
	"strings"

	"github.com/samber/lo"
)

// Flags are the command-line flags of stepseamd, for go-arg. A flag overrides the value in
// the settings file.
type Flags struct {
	File  string `arg:"--settings,env:STEPSEAM_SETTINGS" placeholder:"FILE" help:"YAML settings file"`
	Check bool   `arg:"--check" help:"only check the settings, print the findings and exit"`

	Name      string   `arg:"--name" help:"node.name"`
	Zone      string   `arg:"--zone" help:"node.zone"`
	Region    string   `arg:"--region" help:"node.region"`
	Callers   string   `arg:"--callers" placeholder:"IP:PORT" help:"addresses.callers"`
	Operators string   `arg:"--operators" placeholder:"IP:PORT" help:"addresses.operators"`
	Peer      string   `arg:"--peer" placeholder:"IP:PORT" help:"addresses.peer"`
	Probe     string   `arg:"--probe" placeholder:"IP:PORT" help:"addresses.probe"`
	Seeds     []string `arg:"--seed,separate" placeholder:"IP:PORT" help:"seeds; may be repeated, replaces the file's"`

	LogService  string `arg:"--log-service" placeholder:"IP:PORT" help:"platform.log_service"`
	MachineList string `arg:"--machine-list" placeholder:"IP:PORT" help:"platform.machine_list"`
	WeightStore string `arg:"--weight-store" placeholder:"IP:PORT" help:"platform.weight_store"`
	Tools       string `arg:"--tools" placeholder:"IP:PORT" help:"platform.tools"`

	LogLevel  string   `arg:"--log-level" help:"logging.level: debug, info, warn or error"`
	LogFormat string   `arg:"--log-format" help:"logging.format: text or json"`
	Set       []string `arg:"--set,separate" placeholder:"FIELD=VALUE" help:"any other field by its path, such as shards.count=64; may be repeated"`
}

// Description returns the first paragraph of the help text.
func (Flags) Description() string {
	return "stepseamd is one node of a stepseam site: it takes callers' requests, owns shards of programs and keeps journal replicas for other nodes."
}

// override is the value of one flag for one field of the settings.
type override struct {
	flag  string
	field string
	value string
}

func (f Flags) overrides() ([]override, []Finding) {
	all := []override{
		{"--name", "node.name", f.Name},
		{"--zone", "node.zone", f.Zone},
		{"--region", "node.region", f.Region},
		{"--callers", "addresses.callers", f.Callers},
		{"--operators", "addresses.operators", f.Operators},
		{"--peer", "addresses.peer", f.Peer},
		{"--probe", "addresses.probe", f.Probe},
		{"--seed", "seeds", seedList(f.Seeds)},
		{"--log-service", "platform.log_service", f.LogService},
		{"--machine-list", "platform.machine_list", f.MachineList},
		{"--weight-store", "platform.weight_store", f.WeightStore},
		{"--tools", "platform.tools", f.Tools},
		{"--log-level", "logging.level", f.LogLevel},
		{"--log-format", "logging.format", f.LogFormat},
	}
	given := lo.Filter(all, func(o override, _ int) bool { return o.value != "" })
	var findings []Finding
	for _, assignment := range f.Set {
		field, value, found := strings.Cut(assignment, "=")
		if !found || field == "" {
			findings = append(findings, Finding{Place: "flag --set", Message: "want FIELD=VALUE, have " + assignment})
			continue
		}
		given = append(given, override{"--set", field, value})
	}
	return given, findings
}

// seedList formats seeds as a YAML flow sequence.
func seedList(seeds []string) string {
	if len(seeds) == 0 {
		return ""
	}
	return "[" + strings.Join(lo.Map(seeds, func(s string, _ int) string { return `"` + s + `"` }), ", ") + "]"
}
