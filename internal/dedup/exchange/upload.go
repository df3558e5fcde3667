package exchange

// This file decides on uploads: bodies that come in blocks, in order, over as many connections as it takes.

// block is one that an upload has taken.
type block struct {
	offset, n int
	digest    uint64
}

// upload is a body that comes in blocks. Once whole it is remembered as long as its exchange, without its bytes, so
// that blocks that come again, because only their acknowledgements were lost, are told from other ones.
type upload struct {
	tag    string
	have   int
	total  int // -1: not told
	whole  bool
	blocks []block
}

// has tells whether the upload has taken this very block; other, whether it has taken one in its place with other
// bytes. Blocks of another size tell neither.
func (u *upload) has(b *BlockReceived) (has, other bool) {
	lo, hi := 0, len(u.blocks)
	for lo < hi {
		if mid := (lo + hi) / 2; u.blocks[mid].offset < b.Offset {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(u.blocks) || u.blocks[lo].offset != b.Offset || u.blocks[lo].n != b.Length {
		return false, false
	}
	same := u.blocks[lo].digest == b.Digest && (u.whole && lo == len(u.blocks)-1) == !b.More
	return same, !same
}

// onBlock decides on a block. Its copy is told at once, except for the last one, which waits for the answer.
func (l *Store) onBlock(b *BlockReceived) {
	doubtful := l.doubtful(b.Idempotency, &b.ResendHistory)
	d := l.device(b.Device)
	if d == nil {
		l.turnAway(b.Copy, nil, OutcomeBusy, doubtful)
		return
	}
	d.link.Observe(b.Link)
	advice := l.advice(d)
	e := d.byKey[b.Key]
	if e != nil && e.state == receiving && l.now > e.deadline { // its device gave up; this is another try
		l.forget(e)
		e = nil
	}
	if e == nil {
		if b.Offset != 0 { // a gateway that has started anew has nothing of it
			l.tell(b.Copy, Respond{Outcome: OutcomeIncomplete, Advice: advice})
			return
		}
		if e = l.beginUpload(d, b, doubtful); e == nil {
			return
		}
	}
	u := e.up
	has, other := false, false
	if u != nil {
		has, other = u.has(b)
	}
	switch {
	case u == nil || b.Offset == 0 && (u.tag != b.Tag || !has):
		// A body begins: the first, another under another tag, or, by RFC 7959, a new one under the same.
		if b.Offset != 0 {
			l.tell(b.Copy, Respond{Outcome: OutcomeIncomplete, Advice: advice})
			return
		}
		l.dropUpload(e)
		u = &upload{tag: b.Tag, total: b.TotalBytes}
		e.up = u
	case u.tag != b.Tag:
		l.tell(b.Copy, Respond{Outcome: OutcomeIncomplete, Advice: advice})
		return
	case other, b.TotalBytes >= 0 && u.total >= 0 && b.TotalBytes != u.total:
		// One upload cannot hold other bytes or be of another size: what is held is worth nothing.
		l.spoil(e, b.Copy, OutcomeConflict)
		return
	case !has && (b.Offset != u.have || u.whole):
		have := u.have
		if u.whole { // nothing can be added: what does not match it begins anew, and is compared when it is whole
			have = 0
		}
		l.tell(b.Copy, Respond{Outcome: OutcomeIncomplete, BufferedBytes: have, Advice: advice})
		return
	}
	if !has { // else it has come again
		if u.total < 0 {
			u.total = b.TotalBytes
		}
		end := b.Offset + b.Length
		if end > l.set.MaxBodyBytes || u.total > l.set.MaxBodyBytes || len(u.blocks) >= l.set.MaxUploadBlocks ||
			u.total >= 0 && (end > u.total || !b.More && end != u.total) || b.Length <= 0 && b.More {
			l.spoil(e, b.Copy, OutcomeTooLarge)
			return
		}
		e.touched = l.now
		l.unqueue(e)
		fits := l.room(0, b.Length)
		l.queue(e)
		if !fits {
			l.arm(e)
			l.turnAway(b.Copy, d, OutcomeBusy, doubtful || e.ran)
			return
		}
		u.blocks = append(u.blocks, block{b.Offset, b.Length, b.Digest})
		u.have, u.whole = end, !b.More
		l.hold(e, e.body, e.upBytes+b.Length, e.answer)
		l.do(AppendBlock{ID: e.id, Copy: b.Copy})
	}
	e.touched = l.now
	l.queue(e)
	l.arm(e)
	if b.More {
		l.tell(b.Copy, Respond{Outcome: OutcomeContinue, BufferedBytes: u.have, Advice: advice})
		return
	}
	l.do(AssembleBody{ID: e.id, Copy: b.Copy})
}

// beginUpload begins an exchange by its first block, or tells the copy why not.
func (l *Store) beginUpload(d *device, b *BlockReceived, doubtful bool) *entry {
	if l.draining {
		l.turnAway(b.Copy, d, OutcomeBusy, doubtful)
		return nil
	}
	if !(b.RemainingMs >= l.set.MinRunMs) {
		l.turnAway(b.Copy, d, OutcomeTooLate, doubtful)
		return nil
	}
	e := l.add(d, b.Key, b.Length)
	if e == nil {
		l.turnAway(b.Copy, d, OutcomeBusy, doubtful)
		return nil
	}
	e.deadline = l.now + d.link.left(b.RemainingMs)
	l.stats.UploadsStarted++
	l.queue(e)
	l.arm(e)
	return e
}

// dropUpload lets go of what an upload holds; a run that has begun keeps its body.
func (l *Store) dropUpload(e *entry) {
	e.up = nil
	l.hold(e, e.body, 0, e.answer)
	l.do(Release{ID: e.id, Body: true})
}

// spoil ends an upload that makes no sense. What has been run stays known.
func (l *Store) spoil(e *entry, c CopyID, o Outcome) {
	l.tell(c, Respond{Outcome: o, Advice: l.advice(e.dev)})
	if e.state == receiving {
		l.forget(e)
		return
	}
	l.dropUpload(e)
}

// assembled takes the digest of a whole body; from here on it is like a copy that came in one piece.
func (l *Store) assembled(a *BodyAssembled) {
	d := l.devices[a.Device]
	if d == nil || d.byKey[a.Key] == nil || d.byKey[a.Key].up == nil || !d.byKey[a.Key].up.whole {
		l.tell(a.Copy, Respond{Outcome: OutcomeIncomplete, Advice: l.advice(d)})
		return
	}
	l.offer(&a.CopyReceived, true)
}
