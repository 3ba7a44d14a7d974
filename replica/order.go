package replica

// storedRecord is a record with data derived from its value.
type storedRecord struct {
	Record
	writerEpoch     int64  // Content.WriterEpoch of the value
	significantHash Digest // recordHash of Content.Significant; 0 if deleted
}

// keyState is what a copy holds of one key. A position names one value only, so a value
// that counts although the store has an older one at a later position keeps its own.
type keyState struct {
	// latest is the record with the last position.
	latest storedRecord
	// kept is a record of an earlier position that counts in place of latest; nil if
	// latest counts.
	kept *storedRecord
}

// effective returns the record that counts.
func (k keyState) effective() storedRecord {
	if k.kept != nil {
		return *k.kept
	}
	return k.latest
}

// contains reports whether a record is the latest or the kept one.
func (k keyState) contains(r Record) bool {
	return k.latest.contains(r) || k.kept != nil && k.kept.contains(r)
}

// contains reports whether a record is the stored one, by its position. A deletion that
// brings the value that it deleted is news to a copy that lacks this value.
func (s storedRecord) contains(r Record) bool {
	if s.Key == "" || comparePosition(r, s.Record) != 0 {
		return false
	}
	return !r.Deleted || len(r.Value) == 0 || len(s.Value) > 0
}

// withRecord returns the state of a key after one more record, in whichever order records
// arrive.
func (c *Copy) withRecord(k keyState, r Record) keyState {
	if k.latest.Key == "" {
		return keyState{latest: c.successor(storedRecord{}, r)}
	}
	if comparePosition(r, k.latest.Record) < 0 {
		return c.withEarlier(k, c.successor(storedRecord{}, r))
	}
	after := c.successor(k.effective(), r)
	if isLateWriter(k.latest, after) {
		return k
	}
	return c.prevailing(k.effective(), after)
}

// withEarlier returns the state of a key after a record that is earlier than its latest
// one. It counts if it is the later of those that prevail over the latest one.
func (c *Copy) withEarlier(k keyState, r storedRecord) keyState {
	if k.kept == nil {
		return c.prevailing(r, k.latest)
	}
	first, second := r, *k.kept
	if comparePosition(second.Record, first.Record) <= 0 {
		first, second = second, first
	}
	return c.prevailing(c.prevailing(first, second).effective(), k.latest)
}

// prevailing returns the state of a key with two records, of which the first has the
// earlier position.
func (c *Copy) prevailing(first, second storedRecord) keyState {
	if c.prevails(first, second) {
		return keyState{latest: second, kept: &first}
	}
	return keyState{latest: second}
}

// prevails reports whether the earlier of two records counts. Within an epoch the later one
// counts, but for versions. A later epoch may begin with old values of the copy that the
// store was restored from: a value that was written no later than the earlier one, by its
// writer's start and sequence number, does not count. Values without a sequence number
// cannot be told apart; the later one then counts.
func (c *Copy) prevails(earlier, later storedRecord) bool {
	if later.Deleted || earlier.Epoch == later.Epoch && !c.Rules.IsVersioned || c.sequence(later) == 0 {
		return false
	}
	if later.writerEpoch != earlier.writerEpoch {
		return later.writerEpoch < earlier.writerEpoch
	}
	if earlier.Epoch == later.Epoch {
		return !earlier.Deleted && c.sequence(later) < c.sequence(earlier)
	}
	return c.sequence(later) <= c.sequence(earlier)
}

// isLateWriter reports whether a record of the same epoch as the latest one is from a
// process that had been replaced when the latest one was written.
func isLateWriter(latest, r storedRecord) bool {
	return !r.Deleted && r.Epoch == latest.Epoch && r.writerEpoch != 0 && r.writerEpoch < latest.writerEpoch
}

// successor returns a record with its derived data, to be stored after before.
func (c *Copy) successor(before storedRecord, r Record) storedRecord {
	if !r.Deleted {
		content := c.parseContent(r.Value)
		return storedRecord{Record: r, writerEpoch: content.WriterEpoch, significantHash: recordHash(r.Key, content.Significant)}
	}
	// A deletion keeps the value and its writerEpoch, so that a late record of an earlier
	// process, or an old one of a restored store, is recognised.
	if len(r.Value) == 0 {
		r.Value = before.Value
		return storedRecord{Record: r, writerEpoch: before.writerEpoch}
	}
	return storedRecord{Record: r, writerEpoch: c.parseContent(r.Value).WriterEpoch}
}

// sequence returns the sequence number of a record's value, which a deletion may have
// kept; zero if there is none.
func (c *Copy) sequence(stored storedRecord) int64 {
	if c.Rules.ParseSequence == nil || len(stored.Value) == 0 {
		return 0
	}
	return c.Rules.ParseSequence(stored.Key, stored.Value)
}
