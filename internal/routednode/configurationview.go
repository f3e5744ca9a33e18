package routednode

import (
	"time"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/routing"
)

// operatorSubscription applies the configuration and the evacuated zones that peers send.
func (v *views) operatorSubscription() distribution.Subscription {
	return distribution.Subscription{
		Topic: v.operators.Topic,
		Replace: func(items []logstore.Item, next logstore.Offset) {
			v.operators.replaceFromPeer(next, func() { v.setOperatorRecords(items, next, "peer") })
		},
		Apply: func(items []logstore.Item, next logstore.Offset) {
			if age, known := v.operators.Age(time.Now()); known && age > outageAge {
				v.router.MissedConfigurations() // peers send the newest configuration only
			}
			position, _ := v.operators.Position()
			v.applyOperatorRecords(position, items, next, "peer")
		},
		Confirm: v.confirmOperators,
	}
}

func (v *views) confirmOperators(at time.Time) {
	v.operators.Confirm(at)
	v.freshness.confirm(at)
}

// replaceOperatorRecords applies a snapshot of the operator topic read from the store.
func (v *views) replaceOperatorRecords(items []logstore.Item, next logstore.Offset) {
	v.operators.replace(func() { v.setOperatorRecords(items, next, "store") })
}

// setOperatorRecords applies a snapshot of the operator topic; source is logged. Evacuated
// zones are applied before the configuration, so that a configuration never takes effect
// without them. The caller must hold the topic's mutex.
func (v *views) setOperatorRecords(items []logstore.Item, next logstore.Offset, source string) {
	items = v.relevantRecords(items)
	v.router.MissedConfigurations()
	v.evacuations.replace(items, next)
	v.applyConfigurationRecords(items, source)
	v.operators.Replace(items, next)
}

// applyOperatorRecords applies the records between two positions; source is logged.
func (v *views) applyOperatorRecords(position logstore.Offset, items []logstore.Item, next logstore.Offset, source string) {
	v.operators.apply(position, next, func() {
		items = v.relevantRecords(items)
		v.evacuations.apply(items, next)
		v.applyConfigurationRecords(items, source)
		v.operators.Apply(items, next)
	})
}

// evacuatedValue and unreadableValue stand for the values of evacuations, whose content is of no use.
// All builds decode them as what they stand for.
var (
	evacuatedValue  = []byte("{}")
	unreadableValue = []byte("?")
)

// relevantRecords returns the records that this node uses. Values of evacuations, of any length, are
// replaced by short ones, since nodes keep them and pass them on.
func (v *views) relevantRecords(items []logstore.Item) []logstore.Item {
	used := make([]logstore.Item, 0, len(items))
	for _, item := range items {
		_, evacuates, err := v.adapter.DecodeEvacuation(item)
		switch {
		case evacuates && err != nil:
			used = append(used, logstore.Item{Key: item.Key, Value: unreadableValue})
		case evacuates && item.Value != nil:
			used = append(used, logstore.Item{Key: item.Key, Value: evacuatedValue})
		case evacuates || item.Key == v.adapter.ConfigurationKey:
			used = append(used, item)
		}
	}
	return used
}

func (v *views) applyConfigurationRecords(items []logstore.Item, source string) {
	for _, item := range items {
		if item.Key != v.adapter.ConfigurationKey || item.Value == nil {
			continue
		}
		if v.applyEncodedConfiguration(item.Value, source) {
			v.freshness.setUsable(true)
		}
	}
}

// applyEncodedConfiguration makes a configuration current if it is newer; source is logged. It reports
// whether it can be decoded. That of a peer outside the topic may be older than one that can't.
func (v *views) applyEncodedConfiguration(encoded []byte, source string) (decoded bool) {
	configuration, err := v.adapter.DecodeConfiguration(encoded)
	if err != nil {
		v.freshness.setUsable(false)
		v.logger.Error("cannot decode configuration; keeping the current one", "from", source, "error", shortened(err.Error(), maxLoggedReason), "bytes", len(encoded))
		return false
	}
	applied := v.router.SetConfiguration(configuration)
	if applied {
		v.storeConfiguration(configuration.Version, encoded)
		v.logAllowedRegions(configuration)
		for _, notify := range v.onConfiguration {
			notify()
		}
	}
	v.logger.Info("configuration received", "from", source, "version", configuration.Version, "in_force", applied,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
	return true
}

// maxLoggedFindings limits the log lines about one configuration.
const maxLoggedFindings = 20

// logAllowedRegions logs allowed regions that no zone satisfies. Requests bound to them are
// rejected.
func (v *views) logAllowedRegions(configuration *routing.Configuration) {
	findings := configuration.CheckAllowedRegions(v.regions)
	for _, finding := range findings[:min(len(findings), maxLoggedFindings)] {
		v.logger.Error("allowed regions cannot be satisfied; affected requests are rejected", "version", configuration.Version, "error", finding)
	}
	if more := len(findings) - maxLoggedFindings; more > 0 {
		v.logger.Error("more allowed regions cannot be satisfied", "version", configuration.Version, "findings", more)
	}
}

// storeConfiguration retains the newest encoded configuration for peers. Updates from the
// store and from peers may arrive here in either order, so an older version is ignored.
func (v *views) storeConfiguration(version uint64, encoded []byte) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if version > v.version {
		v.version, v.configuration = version, encoded
	}
}

// encodedConfiguration returns the version and the encoding of the current configuration.
func (v *views) encodedConfiguration() (uint64, []byte) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.version, v.configuration
}
