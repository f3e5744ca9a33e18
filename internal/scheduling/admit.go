package scheduling

import (
	"fmt"
	"math"
	"time"
)

// Admission is the snapshot in which one call asks to be let in.
type Admission struct {
	Call Call
	// MaxConcurrent and TenantShare are the limits of the class's row, divided
	// over the nodes; 0 is no limit.
	MaxConcurrent int
	TenantShare   float64
	// ClassRunning and TenantRunning count the class's programs under way here,
	// in all and of the call's tenant.
	ClassRunning  int
	TenantRunning int
	// ProgramDuration is how long the class's programs usually take, 0 if unknown.
	ProgramDuration time.Duration
}

// defaultProgramDuration is taken where no program of the class was observed yet.
const defaultProgramDuration = 30 * time.Second

// Admit lets a call in or refuses it.
//
// The call of a program that is under way is always let in: its program was
// admitted as a whole, and stalling it half way wastes what was done for it. A
// first call is refused early, before anything ran, where its class or tenant
// is at its limit, with the time after which a place is expected to be free.
// Stepseam refuses one as well where the wait at the best back end is too long.
func Admit(_ time.Time, admission Admission) Decision {
	if admission.Call.CallsSoFar > 0 {
		return Decision{Action: Run, Reason: "program is under way"}
	}
	if limit := admission.MaxConcurrent; limit > 0 {
		if admission.ClassRunning >= limit {
			return refuseAdmission(admission, admission.ClassRunning, limit, "class at its limit")
		}
		if share := tenantLimit(admission); share > 0 && admission.TenantRunning >= share {
			return refuseAdmission(admission, admission.TenantRunning, share, "tenant at its share of the class")
		}
	}
	return Decision{Action: Run, Reason: "within the limits"}
}

// tenantLimit is how many programs of one tenant may run, at least one; 0 is no limit.
func tenantLimit(admission Admission) int {
	if admission.TenantShare <= 0 || admission.TenantShare >= 1 {
		return 0
	}
	return max(1, int(math.Floor(admission.TenantShare*float64(admission.MaxConcurrent))))
}

// refuseAdmission names the time after which one of the running programs is
// expected to have ended: with n of them, each about half way, a place comes
// free about every n-th part of a program's duration.
func refuseAdmission(admission Admission, running, limit int, reason string) Decision {
	duration := admission.ProgramDuration
	if duration <= 0 {
		duration = defaultProgramDuration
	}
	excess := running - limit + 1
	wait := duration * time.Duration(excess) / time.Duration(running)
	return Decision{
		Action:     Refuse,
		RetryAfter: max(wait, minimumRetry).Round(time.Millisecond),
		Reason:     fmt.Sprintf("%s: %d of %d running", reason, running, limit),
	}
}
