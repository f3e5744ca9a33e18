package settings

import (
	"net/netip"
	"time"
)

// Routed are the settings of a node that serves routed requests on a platform.
type Routed struct {
	Node      Node            `yaml:"node"`
	Addresses RoutedAddresses `yaml:"addresses"`
	// Seeds are peer addresses of other nodes through which a starting node joins. Some
	// may be stale.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Zones maps each zone of the site to its region. Requests with allowed regions are
	// not sent to zones that are not listed.
	Zones            map[string]string `yaml:"zones"`
	Store            Store             `yaml:"store"`
	Machine          Machine           `yaml:"machine"`
	Stop             Stop              `yaml:"stop"`
	Watch            Watch             `yaml:"follow"`
	ReplicaSelection ReplicaSelection  `yaml:"choice"`
	Keys             Keys              `yaml:"keys"`
	Limits           TenantLimits      `yaml:"limits"`
	Logging          Logging           `yaml:"logging"`
}

// RoutedAddresses are the addresses on which the node listens.
type RoutedAddresses struct {
	// Clients is the address for clients' requests.
	Clients netip.AddrPort `yaml:"clients" validate:"required"`
	// Readiness is the address of the readiness check.
	Readiness netip.AddrPort `yaml:"readiness" validate:"required"`
	// Peers is the address for other nodes, over TCP and UDP on the same port. If it is
	// unset, the node runs without peers.
	Peers netip.AddrPort `yaml:"peers"`
	// AdvertisedPeers is the address at which other nodes reach Peers if it differs from
	// it, such as behind port forwarding. Connections to other nodes then originate from
	// the IP address of Peers.
	AdvertisedPeers netip.AddrPort `yaml:"peers_advertised"`
	// Loads is the UDP address for load reports of other nodes. All nodes of a site use
	// the same port. If it is unset, nodes exchange no load reports.
	Loads netip.AddrPort `yaml:"loads"`
	// Aggregators is the UDP address for reports to and queries of the replicas' aggregators.
	// All nodes of a site use the same port. If it is unset, the node selects replicas by
	// its own state and the reports received at Loads.
	Aggregators netip.AddrPort `yaml:"keepers"`
	// Metrics is the address of the metrics endpoint. If it is unset, there is none.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// ReachablePeers returns the address at which other nodes reach this one.
func (a RoutedAddresses) ReachablePeers() netip.AddrPort {
	if a.AdvertisedPeers.IsValid() {
		return a.AdvertisedPeers
	}
	return a.Peers
}

// Store configures the durable log store and its limits.
type Store struct {
	Address netip.AddrPort `yaml:"address" validate:"required"`
	// Partitions is the number of partitions of a topic. It must be the same on all nodes.
	Partitions int `yaml:"partitions" validate:"min=1,max=65536"`
	// RecordBytes and CallBytes are the maximum sizes of one record and one append.
	RecordBytes int `yaml:"record_bytes" validate:"min=1024"`
	CallBytes   int `yaml:"call_bytes" validate:"min=1024"`
	// RetainSeconds is how long the store retains records.
	RetainSeconds float64 `yaml:"retain_seconds" validate:"min=0"`
	// IndexTextBytes bounds the texts of persisted turns that are stored with the index and
	// that a takeover of a partition reads. 0 stores all texts in their own topic.
	IndexTextBytes int `yaml:"index_text_bytes" validate:"min=0"`
	// ReadsPerSecond is the store's rate limit for reads of all nodes together; 0 means
	// unknown.
	ReadsPerSecond float64 `yaml:"reads_per_second" validate:"min=0"`
}

// Retention returns RetainSeconds as a duration.
func (s Store) Retention() time.Duration {
	return time.Duration(s.RetainSeconds * float64(time.Second))
}

// Machine describes the resources of the process.
type Machine struct {
	// MemoryMebibytes is the memory limit, above which the process is killed.
	MemoryMebibytes int `yaml:"memory_mebibytes" validate:"min=32"`
	// Descriptors is the limit of open files and sockets.
	Descriptors int `yaml:"descriptors" validate:"min=64"`
	// ProcessorFraction is the fraction of a core that the process may use, and Cores the
	// speed of that core relative to a reference core. Nodes with a larger product take on
	// more work for other nodes.
	ProcessorFraction float64 `yaml:"processor_share" validate:"min=0"`
	Cores             float64 `yaml:"cores" validate:"min=0"`
	// LinkMegabits is the bandwidth of the machine's network link, in megabits per second.
	LinkMegabits float64 `yaml:"link_megabits" validate:"min=0.1"`
}

// Millicores returns the CPU capacity in thousandths of a reference core.
func (m Machine) Millicores() uint32 { return uint32(m.ProcessorFraction * m.Cores * 1000) }

// LinkBytesPerSecond returns the bandwidth of the link.
func (m Machine) LinkBytesPerSecond() float64 { return m.LinkMegabits * 1e6 / 8 }

// Stop configures a planned stop.
type Stop struct {
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
}

// Watch configures how nodes watch the configuration and the replicas in the store.
type Watch struct {
	// ReplicasInterval is the interval between reads of the replicas' entries.
	ReplicasInterval time.Duration `yaml:"replicas_pause" validate:"min=50ms,max=1m"`
	// Wait is the long-poll timeout of a read.
	Wait time.Duration `yaml:"wait" validate:"min=100ms,max=1m"`
	// DirectEntries is the number of entries (nodes times replicas) up to which all nodes
	// read the store themselves. Above it only some nodes do, which read ReadEntries entries
	// in total, and the others pull from them. A large value makes all nodes read the store
	// on sites of any size.
	DirectEntries int `yaml:"direct_entries" validate:"min=0"`
	ReadEntries   int `yaml:"read_entries" validate:"min=1"`
}

// ReplicaSelection configures how the replica for a request is selected.
type ReplicaSelection struct {
	// FullScanLimit is the number of replicas of a service up to which all are examined; 0
	// means no limit. Above it only a sample is examined: replicas that are likely to have
	// the prompt cached, and random ones.
	FullScanLimit int `yaml:"scan_up_to" validate:"min=0"`
}

// Keys configures clients' API keys.
type Keys struct {
	// Revocation is how long requests with a key may still run after the store has
	// acknowledged a configuration that revokes the key. 0 means no limit.
	Revocation time.Duration `yaml:"revocation" validate:"max=1h"`
}

// TenantLimits configures the enforcement of tenants' limits.
type TenantLimits struct {
	// Window is the period over which a tenant's requests are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=1h"`
	// Overage is the fraction of a limit, and Slack the number of requests, by which a
	// tenant may exceed the limit in a window.
	Overage float64 `yaml:"overage" validate:"min=0,max=1"`
	Slack   float64 `yaml:"slack" validate:"min=0"`
	// Strategy is how nodes divide a limit. With allocator, one node per tenant grants
	// tokens to the others; with shares, each node gets an equal fraction.
	Strategy string `yaml:"way" validate:"oneof=allocator shares"`
}

// leasePercent is the maximum age of the configuration as a percentage of Revocation. The
// rest allows for clock drift between machines.
const leasePercent = 95

// Lease returns the maximum age of the configuration for requests with keys; 0 means no limit.
func (k Keys) Lease() time.Duration { return k.Revocation * leasePercent / 100 }

// DefaultRouted returns the default settings. Node, the addresses and the store's address have
// no defaults.
func DefaultRouted() Routed {
	return Routed{
		Store:   Store{Partitions: 12, RecordBytes: 256 << 10, CallBytes: 2 << 20, RetainSeconds: 300, IndexTextBytes: 64 << 10},
		Machine: Machine{MemoryMebibytes: 256, Descriptors: 1024, ProcessorFraction: 1, Cores: 1, LinkMegabits: 100},
		Stop:    Stop{Grace: 8 * time.Second},
		Watch: Watch{
			ReplicasInterval: 700 * time.Millisecond, Wait: time.Second,
			DirectEntries: 200_000, ReadEntries: 20_000,
		},
		ReplicaSelection: ReplicaSelection{FullScanLimit: 150},
		Limits:           TenantLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Strategy: "allocator"},
		Logging:          Logging{Level: "info", Format: "json"},
	}
}

// ParseRouted reads and checks the settings of a routed node. It returns all findings
// together as a *FindingsError.
func ParseRouted(name string, content []byte) (Routed, error) {
	result := DefaultRouted()
	reader := newReader(name)
	if err := reader.document(content, &result); err != nil {
		return Routed{}, err
	}
	add := func(field, message string) {
		if !reader.invalid[field] {
			reader.findings = append(reader.findings, Finding{Place: reader.place(field), Field: field, Message: message})
		}
	}
	checkFields(result, add)
	checkRoutedAddresses(result, add)
	if len(reader.findings) > 0 {
		return Routed{}, &FindingsError{Findings: reader.findings}
	}
	return result, nil
}

func checkRoutedAddresses(settings Routed, add func(field, message string)) {
	clients := settings.Addresses.Clients
	if clients.IsValid() && clients == settings.Addresses.Readiness {
		add("addresses.readiness", "is the same as addresses.clients")
	}
	if settings.Addresses.Metrics.IsValid() && settings.Addresses.Metrics == clients {
		add("addresses.metrics", "is the same as addresses.clients")
	}
	if settings.Watch.ReplicasInterval >= settings.Stop.Grace {
		add("follow.replicas_pause", "must be shorter than stop.grace")
	}
}
