package routednode

import (
	"time"

	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/routing"
)

// operatorsFeed joins what operators write with what other nodes tell of it: the
// configuration and the zones that they evacuate.
func (v *views) operatorsFeed() distribution.Subscription {
	return distribution.Subscription{
		Topic: v.operators.Topic,
		Replace: func(items []logstore.Item, next logstore.Offset) {
			v.operators.replaceTold(next, func() { v.takeOperators(items, next, "peer") })
		},
		Apply: func(items []logstore.Item, next logstore.Offset) {
			position, _ := v.operators.Position()
			v.changeOperators(position, items, next, "peer")
		},
		Confirm: v.confirmOperators,
	}
}

func (v *views) confirmOperators(at time.Time) {
	v.operators.Confirm(at)
	v.freshness.confirm(at)
}

// replaceOperators takes all records of the operators as the store holds them.
func (v *views) replaceOperators(items []logstore.Item, next logstore.Offset) {
	v.operators.replace(func() { v.takeOperators(items, next, "store") })
}

// takeOperators takes all records of the operators; from tells in the log who has told
// them. The zones come first, so that no configuration is in force without them. It needs
// the topic's mutex.
func (v *views) takeOperators(items []logstore.Item, next logstore.Offset, from string) {
	items = v.ofUse(items)
	v.evacuations.replace(items, next)
	v.takeConfiguration(items, from)
	v.operators.Replace(items, next)
}

// changeOperators takes records between two positions.
func (v *views) changeOperators(position logstore.Offset, items []logstore.Item, next logstore.Offset, from string) {
	v.operators.change(position, next, func() {
		items = v.ofUse(items)
		v.evacuations.change(items, next)
		v.takeConfiguration(items, from)
		v.operators.Apply(items, next)
	})
}

// ofUse returns the records that some part of this node reads.
func (v *views) ofUse(items []logstore.Item) []logstore.Item {
	used := make([]logstore.Item, 0, len(items))
	for _, item := range items {
		_, evacuates, _ := v.adapter.DecodeEvacuation(item)
		if evacuates || item.Key == v.adapter.ConfigurationKey {
			used = append(used, item)
		}
	}
	return used
}

func (v *views) takeConfiguration(items []logstore.Item, from string) {
	for _, item := range items {
		if item.Key != v.adapter.ConfigurationKey || item.Value == nil {
			continue
		}
		v.takeEncoded(item.Value, from)
	}
}

// takeEncoded puts a configuration in force if it is newer. from tells in the log
// who has told it.
func (v *views) takeEncoded(encoded []byte, from string) {
	configuration, err := v.adapter.DecodeConfiguration(encoded)
	v.freshness.readable(err == nil)
	if err != nil {
		v.logger.Error("configuration can't be used", "from", from, "error", err, "bytes", len(encoded))
		return
	}
	inForce := v.router.SetConfiguration(configuration)
	if inForce {
		v.keepConfiguration(configuration.Version, encoded)
		v.logHomes(configuration)
	}
	v.logger.Info("configuration heard", "from", from, "version", configuration.Version, "in_force", inForce,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
}

// mostFindings bounds how many findings of one configuration are logged.
const mostFindings = 20

// logHomes tells what is wrong with the homes of data; what has no home is refused.
func (v *views) logHomes(configuration *routing.Configuration) {
	findings := configuration.CheckAllowedRegions(v.regions)
	for _, finding := range findings[:min(len(findings), mostFindings)] {
		v.logger.Error("homes of data can't be kept, such requests are refused", "version", configuration.Version, "error", finding)
	}
	if more := len(findings) - mostFindings; more > 0 {
		v.logger.Error("more homes of data can't be kept", "version", configuration.Version, "findings", more)
	}
}

// keepConfiguration keeps the newest configuration for peers. Store and peers may
// put two in force at about the same time, in either order here.
func (v *views) keepConfiguration(version uint64, encoded []byte) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if version > v.version {
		v.version, v.configuration = version, encoded
	}
}

// encodedConfiguration returns the configuration in force as the store holds it.
func (v *views) encodedConfiguration() (uint64, []byte) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.version, v.configuration
}
