package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dottereltiller/dottereltiller/operator"
)

type historyCmd struct {
	logFlags
	Last   int    `arg:"-n,--last" default:"20" help:"number of changes to show, newest last; 0 means all"`
	Change string `arg:"--change" help:"show only the change with this id"`
}

func (c *historyCmd) run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	view, err := operator.NewView(ctx, c.client())
	if err != nil {
		return err
	}
	entries := view.Entries()
	if c.Change != "" {
		entries = filterByID(entries, c.Change)
		if len(entries) == 0 {
			return &operator.UnknownError{ChangeID: c.Change, Err: fmt.Errorf("the log does not hold this change, or no longer holds it")}
		}
	}
	if c.Last > 0 && len(entries) > c.Last {
		entries = entries[len(entries)-c.Last:]
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "offset\tverdict\tversion\tbase\ttime\tauthor\tput\tdeleted\tchange\tcomment")
	for _, e := range entries {
		changeTime := time.UnixMilli(e.Change.UnixMilli).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Offset, e.Decision, e.Version, e.Change.Base,
			changeTime, e.Change.Author, len(e.Change.Put), len(e.Change.Delete), e.Change.ID, e.Change.Comment)
	}
	return t.Flush()
}

// filterByID returns the entries of the change with an id. There are several if the change was appended
// more than once.
func filterByID(entries []operator.HistoryEntry, id string) []operator.HistoryEntry {
	var out []operator.HistoryEntry
	for _, e := range entries {
		if e.Change.ID == id {
			out = append(out, e)
		}
	}
	return out
}
