// Package ablation switches mechanisms of the daemon off, one at a time, and measures what
// each is worth on recorded deployments.
//
// A mechanism is switched off by an edit of the source in a scratch copy of the last
// commit. Each copy plays the same days with the same seeds as the unchanged one, and the
// differences in pairs give a mean with its standard error. That the edits still apply is
// a test like any other; the plays take hours, so they run only where the program that
// plays days is named:
//
//	ABLATION_BENCH=PROGRAM ABLATION_SITES=FILE,FILE go test ./ablation -run Plays -timeout 0 -v
//
// ABLATION_DAYS and ABLATION_SEEDS name days and seeds, ABLATION_ONLY the mechanisms,
// ABLATION_JOBS how many plays run at once (4), and ABLATION_OUT the file of the results
// (ablation.jsonl in the temporary directory), a JSON line for each play. Plays that it holds are not
// repeated, so that a run goes on where it was stopped. ABLATION_JOURNAL names a directory
// that keeps the journal entries of the plays.
package ablation
