// Package config is a replicated state machine that turns the log of
// configuration changes into the current configuration. The version of the
// configuration never decreases.
//
// A Change has an id, the version it is based on, and the documents it puts and
// deletes. Records are applied in log order, and a Change is accepted only if its
// base is the current version. Of two concurrent changes by operators exactly
// one is therefore accepted. All daemons that apply the same records agree on
// which change that is.
//
// A State depends only on the records below its Next offset. A State may
// therefore be replaced only by a State with a larger Next. A StateMachine applies
// a record only if its State covers all earlier records of the log, without a gap.
// It restores a checkpoint from the log only if the log still keeps all records that
// follow the checkpoint's state. It sends other daemons either the records
// themselves or a complete State as a checkpoint.
//
// Accepted changes form a hash chain. Two daemons with different contents for the
// same version therefore detect the conflict.
package config
