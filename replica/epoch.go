package replica

// BeginEpoch notes that the store has begun an epoch; one that is not newer is
// ignored. The records of earlier epochs are kept as carried over: the restored store
// may lack them until they are written again.
func (c *Copy) BeginEpoch(e Epoch) {
	if e <= c.epoch {
		return
	}
	if c.epoch == 0 {
		// Records of an unknown epoch were read in this one.
		for key, state := range c.records {
			state.latest.Epoch = e
			if state.kept != nil {
				state.kept.Epoch = e
			}
			c.records[key] = state
		}
	} else {
		c.endOffset, c.heldOffset, c.readerMark = 0, 0, nil
		c.hasMark, c.needsListing = false, true
	}
	c.epoch = e
}

// NeedsListing reports whether the store must be listed before it is read by offset:
// the copy was never complete, or its offsets are of an earlier epoch.
func (c *Copy) NeedsListing() bool {
	return !c.hasBeenComplete || c.needsListing
}

// HasCarriedOver reports whether any key was last read in an earlier epoch.
func (c *Copy) HasCarriedOver() bool {
	for _, state := range c.records {
		if c.isCarriedOver(state) {
			return true
		}
	}
	return false
}

// isCarriedOver reports whether a key was last read in an earlier epoch. A key that has an
// invalid value in the newest epoch was read in it.
func (c *Copy) isCarriedOver(k keyState) bool {
	return !k.effective().Deleted && k.latest.Epoch < c.epoch && c.invalid[k.latest.Key].Epoch < c.epoch
}
