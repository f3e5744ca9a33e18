package demo

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/site"
	"stepseam.example/stepseam/internal/settings"
)

// Names and parameters of the demonstration's site.
const (
	region             = "sierra-norte"
	engineService      = "modelos-asesor"
	applicationService = "portal-matricula"
	modelName          = "asesor-8b"
	className          = "applicant"
	tenantName         = "universidad-central"
	machineListLag     = time.Second
	// shardCount is small to keep the log of each node's start short.
	shardCount = 64
)

// Token budgets of the first and of the changed table.
const (
	firstBudget   = "20000"
	changedBudget = "30000"
)

// tableText is the published table in CSV; writeTable replaces BUDGET.
const tableText = `kind,name,version,service,model,weight,context_tokens,priority,budget_tokens,max_calls,max_branches,max_duration,idle_timeout,call_timeout,max_tokens
model,asesor-8b,2026-05,modelos-asesor,,1,32768,,,,,,,,
class,applicant,,,asesor-8b,2,,5,BUDGET,40,4,1h,15m,30s,512
`

func sitePlan(programs, directory string) site.Plan {
	zones := []identity.Zone{"quito-centro", "quito-norte", "cumbaya"}
	plan := site.Plan{
		Programs: programs, Directory: directory, Region: region,
		EngineService: engineService, ApplicationService: applicationService,
		MachineListLag: machineListLag,
		AdjustSettings: func(s *settings.Settings) { s.Shards.Count = shardCount },
	}
	for i, zone := range zones {
		plan.Nodes = append(plan.Nodes, site.NodePlan{Name: identity.NodeName("node-" + string(zone)), Zone: zone})
		if i == len(zones)-1 {
			break
		}
		engineParameters := engine.DefaultParameters("engine-"+string(zone), modelName)
		engineParameters.Seed = uint64(i + 1)
		plan.Engines = append(plan.Engines, site.EnginePlan{Zone: zone, Parameters: engineParameters})
		applicationParameters := application.DefaultParameters("portal-" + string(zone))
		applicationParameters.Seed = uint64(i + 1)
		plan.Applications = append(plan.Applications, site.ApplicationPlan{Zone: zone, Parameters: applicationParameters})
	}
	return plan
}

// writeTable writes the table with the given budget and returns the path of the file.
func writeTable(directory, name, budget string) (string, error) {
	path := filepath.Join(directory, name)
	return path, os.WriteFile(path, []byte(strings.Replace(tableText, "BUDGET", budget, 1)), 0o600)
}
