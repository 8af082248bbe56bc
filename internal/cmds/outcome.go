package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// findOutcome looks for the nonce in the records after those applied so far. found
// is false if the nonce is not in the log or the log can't be read to its end.
func findOutcome(ctx context.Context, log plat.Log, fold *config.Fold, nonce string) (offset uint64, found bool, err error) {
	for {
		page, err := log.Read(ctx, plat.StreamConfig, fold.Next, 0)
		if err != nil {
			return 0, false, err
		}
		fold.Skip(page.First)
		for _, r := range page.Records {
			err := fold.Apply(r.Offset, r.Data)
			if !hasNonce(r.Data, nonce) || !fold.Whole() {
				continue
			}
			if err != nil {
				return 0, true, refusedError(err)
			}
			return r.Offset, true, nil
		}
		if fold.Reached(page.Next) || len(page.Records) == 0 {
			return 0, false, nil
		}
	}
}

// hasNonce reports whether data is the record of the publish with the nonce. Data that
// can't be decoded isn't.
func hasNonce(data []byte, nonce string) bool {
	var r config.Record
	return json.Unmarshal(data, &r) == nil && r.Publish != nil && r.Publish.Nonce == nonce
}

// publishOutcome determines the outcome of a publish by an earlier command. It
// returns the offset if the publish was accepted.
func publishOutcome(ctx context.Context, log plat.Log, nonce string) (offset uint64, err error) {
	offset, err = offsetOfNonce(ctx, log, nonce)
	if err != nil || offset == 0 {
		return 0, unknownOutcomeError(nonce, err)
	}
	fold, err := replayConfig(ctx, log, offset)
	if err != nil {
		return 0, unknownOutcomeError(nonce, err)
	}
	if fold.Accepted != offset {
		return 0, refusedError(fmt.Errorf("record %d was not accepted; the configuration in effect was %d", offset, fold.Accepted))
	}
	return offset, nil
}

// offsetOfNonce returns the offset of the first record with the nonce, or 0 if
// there is none.
func offsetOfNonce(ctx context.Context, log plat.Log, nonce string) (offset uint64, err error) {
	next := uint64(1)
	for {
		page, err := log.Read(ctx, plat.StreamConfig, next, 0)
		if err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			if hasNonce(r.Data, nonce) {
				return r.Offset, nil
			}
			next = r.Offset + 1
		}
		if len(page.Records) == 0 || next >= page.Next {
			return 0, nil
		}
	}
}
