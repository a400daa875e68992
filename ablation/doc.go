// Package ablation is an ablation study: it disables mechanisms of the daemon, one at a time,
// and measures how the score of the daemon on recorded deployments changes.
//
// For each mechanism there is a scratch copy of the last commit, in which edits of the source
// disable the mechanism. One more copy, the baseline, is unchanged. A trial is one run of a
// benchmark program, which replays a recorded day with one copy and one seed. The days of a
// deployment are in a site file. Each trial is paired with the trial of the baseline for the
// same day and seed. The study reports the mean of the score differences of the pairs, with
// its standard error.
//
// A test that always runs checks that the edits still apply. The trials take hours, so they
// run only if ABLATION_BENCH names the benchmark program:
//
//	ABLATION_BENCH=PROGRAM ABLATION_SITES=FILE,FILE go test ./ablation -run TestAblation -timeout 0 -v
//
// The same trials compare alternatives: other ways to take a decision, which edits of the source
// put in place of the current one.
//
// ABLATION_DAYS, ABLATION_SEEDS and ABLATION_ONLY restrict the days, seeds and mechanisms or
// alternatives. ABLATION_ONLY may also name commits to compare with, such as "commit 3f6b52c".
// ABLATION_FLAGS are flags of the benchmark program (default --no-cpu).
// ABLATION_JOBS is the number of parallel trials (default 4). ABLATION_OUT is the file of
// the results (default ablation.jsonl in the temporary directory). It has a JSON line for each
// trial. Trials that the file already holds are not repeated, so an interrupted run can be
// resumed. The benchmark program writes journal entries into the scratch copies. If
// ABLATION_JOURNAL names a directory, the entries are copied to it.
package ablation
