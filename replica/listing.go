package replica

// Listing is a whole listing of the store: the newest record of every key.
type Listing struct {
	Records []Record
	// EndOffset is the end of the topic: later records may be missing. Epoch is its
	// epoch.
	EndOffset Offset
	Epoch     Epoch
	// DropCarriedOver deletes the records of earlier epochs that the listing lacks.
	DropCarriedOver bool
}

// MergeListing merges a listing and returns the records that changed significant
// content. Keys of the copy that the listing lacks are deleted as of its last offset,
// except those with a record at that offset or later and, without DropCarriedOver,
// those of earlier epochs. Nothing is deleted if the end is 0 or before the end that
// was already read, or if the listing is of an earlier epoch.
func (c *Copy) MergeListing(l Listing) (changed []Record) {
	c.BeginEpoch(l.Epoch)
	listed := make(map[string]bool, len(l.Records))
	for _, r := range l.Records {
		listed[r.Key] = true
	}
	changed = c.Merge(l.Records)
	c.hasBeenComplete = true
	if l.EndOffset == 0 || l.Epoch < c.epoch || l.EndOffset < c.endOffset {
		return changed
	}
	c.needsListing = false
	c.heldOffset = max(c.heldOffset, l.EndOffset)
	for key, state := range c.records {
		if listed[key] || state.effective().Deleted || c.isCarriedOver(state) && !l.DropCarriedOver {
			continue
		}
		deletion := Record{Topic: state.latest.Topic, Key: key, Offset: l.EndOffset - 1, Epoch: l.Epoch, Deleted: true}
		if comparePosition(state.latest.Record, deletion) < 0 && c.merge(deletion) {
			changed = append(changed, deletion)
		}
	}
	return changed
}
