package settings

import (
	"net/netip"
	"time"
)

// Routed are the settings of a node that serves routed requests on a platform's
// own store.
type Routed struct {
	Node      Node            `yaml:"node"`
	Addresses RoutedAddresses `yaml:"addresses"`
	// Seeds are other nodes' addresses for peers, by which a starting node joins.
	// Some may be stale.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Zones tells the region of each zone of the site. Data whose homes are regions goes
	// to no zone that is not listed.
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

// RoutedAddresses are where the node listens.
type RoutedAddresses struct {
	// Clients takes clients' requests.
	Clients netip.AddrPort `yaml:"clients" validate:"required"`
	// Readiness answers whether new connections are welcome.
	Readiness netip.AddrPort `yaml:"readiness" validate:"required"`
	// Peers takes what other nodes say, over TCP, and datagrams over UDP at the same
	// number. Unset, the node works alone.
	Peers netip.AddrPort `yaml:"peers"`
	// Loads takes datagrams of other nodes on what they have under way. All nodes of
	// a site use the same port. Unset, nodes don't tell each other.
	Loads netip.AddrPort `yaml:"loads"`
	// Aggregators takes datagrams by which nodes tell and ask the keepers of replicas. All
	// nodes of a site use the same port. Unset, a node chooses by its own knowledge and
	// by what is told at Loads.
	Aggregators netip.AddrPort `yaml:"keepers"`
	// Metrics serves counters and histograms; unset serves none.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// Store says where the durable log is and what it takes.
type Store struct {
	Address netip.AddrPort `yaml:"address" validate:"required"`
	// Partitions is the number of partitions of a topic; all nodes have the same.
	Partitions int `yaml:"partitions" validate:"min=1,max=65536"`
	// RecordBytes and CallBytes bound one record and one append.
	RecordBytes int `yaml:"record_bytes" validate:"min=1024"`
	CallBytes   int `yaml:"call_bytes" validate:"min=1024"`
	// RetainSeconds is how long the store keeps records.
	RetainSeconds float64 `yaml:"retain_seconds" validate:"min=0"`
	// IndexTextBytes bounds the texts of kept turns that a take-over of a partition reads
	// beside the index; 0 leaves all texts to their own topic.
	IndexTextBytes int `yaml:"index_text_bytes" validate:"min=0"`
	// ReadsPerSecond is how many reading calls of all nodes the store takes; 0 where that
	// is not known.
	ReadsPerSecond float64 `yaml:"reads_per_second" validate:"min=0"`
}

// Retention returns how long the store keeps records.
func (s Store) Retention() time.Duration {
	return time.Duration(s.RetainSeconds * float64(time.Second))
}

// Machine says what the process may use.
type Machine struct {
	// MemoryMebibytes is the memory above which the process is killed.
	MemoryMebibytes int `yaml:"memory_mebibytes" validate:"min=32"`
	// Descriptors bounds open files and sockets.
	Descriptors int `yaml:"descriptors" validate:"min=64"`
	// ProcessorFraction of a core is the process's, and a core is Cores times as fast as
	// usual. Nodes that have more do more for the others.
	ProcessorFraction float64 `yaml:"processor_share" validate:"min=0"`
	Cores             float64 `yaml:"cores" validate:"min=0"`
	// LinkMegabits is what the machine's link carries in a second.
	LinkMegabits float64 `yaml:"link_megabits" validate:"min=0.1"`
}

// Millicores returns the processor in thousandths of a core.
func (m Machine) Millicores() uint32 { return uint32(m.ProcessorFraction * m.Cores * 1000) }

// LinkBytesPerSecond returns what the link carries.
func (m Machine) LinkBytesPerSecond() float64 { return m.LinkMegabits * 1e6 / 8 }

// Stop says how a planned stop goes.
type Stop struct {
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
}

// Watch says how configuration and replicas are followed in the store.
type Watch struct {
	// ReplicasInterval is the time between two reads of the replicas' entries.
	ReplicasInterval time.Duration `yaml:"replicas_pause" validate:"min=50ms,max=1m"`
	// Wait is how long a read waits for something new.
	Wait time.Duration `yaml:"wait" validate:"min=100ms,max=1m"`
	// DirectEntries is up to how many entries, nodes times replicas, all nodes read the
	// store themselves. Beyond that a few read it, ReadEntries together, and the others
	// hear from them. A large number has all nodes read whatever the site's size.
	DirectEntries int `yaml:"direct_entries" validate:"min=0"`
	ReadEntries   int `yaml:"read_entries" validate:"min=1"`
}

// ReplicaSelection says how the replica for a request is chosen.
type ReplicaSelection struct {
	// FullScanLimit is up to how many replicas of a service all are looked at; 0 always looks
	// at all. Beyond it a few are gathered by what they are likely to hold, and by chance.
	FullScanLimit int `yaml:"scan_up_to" validate:"min=0"`
}

// Keys says what holds for clients' keys.
type Keys struct {
	// Revocation is how long after a configuration that takes a key away was
	// acknowledged a request with that key may still be sent and run. 0 sets no bound.
	Revocation time.Duration `yaml:"revocation" validate:"max=1h"`
}

// TenantLimits says how tenants are kept within the limits of the configuration.
type TenantLimits struct {
	// Window is the span in which a tenant's requests are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=1h"`
	// Overage is the part of a limit, and Slack the number of requests, by which a
	// tenant may be served beyond it in a window.
	Overage float64 `yaml:"overage" validate:"min=0,max=1"`
	Slack   float64 `yaml:"slack" validate:"min=0"`
	// Strategy is how nodes share a limit: allocator has one node a tenant hand out what may
	// run, shares gives every node an equal part.
	Strategy string `yaml:"way" validate:"oneof=allocator shares"`
}

// leasePercent of the bound on revocation is how old the configuration may be; the rest
// is for clocks that don't run alike.
const leasePercent = 95

// Lease is how old the configuration may be for requests with keys; 0 sets no bound.
func (k Keys) Lease() time.Duration { return k.Revocation * leasePercent / 100 }

// DefaultRouted returns settings with every default. Node, addresses and the
// store's address have none.
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

// ParseRouted reads and checks the settings of a routed node. All faults come
// back together as a *FindingsError.
func ParseRouted(name string, content []byte) (Routed, error) {
	result := DefaultRouted()
	reader := newReader(name)
	if err := reader.document(content, &result); err != nil {
		return Routed{}, err
	}
	add := func(field, message string) {
		if !reader.faulty[field] {
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
