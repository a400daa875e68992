// Package ablation is an ablation study: it disables mechanisms of the daemon, one at a time,
// and measures how the score of the daemon on recorded deployments changes.
//
// A mechanism is disabled by an edit of the source in a scratch copy of the last commit. A
// benchmark program replays recorded days (of a site file) with each copy and with the
// unchanged source, the baseline, using the same seeds. Each trial is paired with the
// baseline of its day and seed, and the score differences of the pairs give a mean with its
// standard error. A test that always runs checks that the edits still apply. The trials take
// hours, so they run only if ABLATION_BENCH names the benchmark program:
//
//	ABLATION_BENCH=PROGRAM ABLATION_SITES=FILE,FILE go test ./ablation -run TestAblation -timeout 0 -v
//
// ABLATION_DAYS, ABLATION_SEEDS and ABLATION_ONLY restrict the days, seeds and mechanisms.
// ABLATION_JOBS is the number of parallel trials (default 4). ABLATION_OUT is the file of
// the results (default ablation.jsonl in the temporary directory), with a JSON line for each
// trial. Trials that the file already holds are not repeated, so an interrupted run can be
// resumed. ABLATION_JOURNAL names a directory to which the journal entries of the trials are
// copied.
package ablation
