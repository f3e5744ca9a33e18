package serving

import "stepseam.example/stepseam/api"

// List returns all programs of the shards that this node owns. It locks one shard at a
// time, so the result is not a consistent snapshot, and it may include records that are
// not yet replicated.
func (o *Owner) List() []api.Program {
	var all []api.Program
	for _, s := range o.allShards() {
		all = append(all, s.list()...)
	}
	return all
}

func (s *shard) list() []api.Program {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	if s.closing || s.stopped {
		return nil
	}
	views := make([]api.Program, 0, s.machine.set.Len())
	for p := range s.machine.set.All {
		views = append(views, s.view(p))
	}
	return views
}
