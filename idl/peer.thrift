// Messages between jayyoke instances, one struct each; MessageKind holds their numbers on the wire.
namespace py jayyoke.wire.gen

// Revision of this protocol, sent in Hello; instances refuse peers of an older revision.
const i32 REVISION = 1

enum MessageKind {
  HELLO = 1
  WELCOME = 2
  FAILURE = 3
  DIGEST = 4
  ASK = 10
  PLACED = 11
  RESERVE = 12
  GRANTED = 13
  RELEASE = 14
  HOLDINGS = 15
  OBSERVED = 16
  ABANDONED = 17
  CACHE_EVENTS = 18
  PULL_CHANGES = 20
  CHANGES = 21
  CHANGE_NOTICE = 22
  COMMIT = 30
  COMMITTED = 31
  EVIDENCE = 40
  HALT = 41
  DRAIN = 43
  MOVE_NOTICE = 44
  STATUS_REQUEST = 50
  STATUS = 51
  LIST_UPSTREAMS = 52
  UPSTREAMS = 53
  PART_EVIDENCE = 60
}

// First message of a connection. Both sides exchange raw nonces before it, so its nonce is unset.
struct Hello {
  1: string instance
  2: string domain
  3: i64 incarnation
  4: i32 revision
  5: string peer_address
  6: string operator_address
  7: binary nonce
  8: i64 control_version
  9: string region
}

struct Welcome {
  1: string instance
  2: string domain
  3: i64 incarnation
  4: i32 revision
  5: string operator_address
  6: binary nonce
  7: i64 control_version
  8: string peer_address
  9: string region
}

// Answer to a request that could not be served.
struct Failure {
  1: string code
  2: string detail
}

struct EngineName {
  1: i32 index
  2: string upstream
  3: optional string version
}

// Load of an engine whose steward is the sender. index refers to an EngineName sent before on this connection.
struct EngineLoad {
  1: i32 index
  2: i32 requests
  3: i32 work_tokens
  4: i32 limit_tokens
  5: i16 state
  6: i64 incarnation
}

struct TeamLoad {
  1: string team
  2: i32 work_tokens
}

// Drains a domain while the platform cannot be reached; out = false withdraws the drain of this id.
struct Drain {
  1: string id
  2: string domain
  3: bool out
}

// Number of live engines of a service in the sender's domain, on a logarithmic scale of four steps per doubling;
// step 0 means that there are none.
struct ServiceCapacity {
  1: string service_name
  2: i16 step
}

// Heartbeat and load digest in one message. halts ("{move} {version}") and drains hold those that are not in the change
// log yet. changes holds index, requests and work_tokens of each engine of which nothing else changed since the last
// EngineLoad, as one flat list. Unset fields cost no bytes. confirmed_age_ms is unset if the version was never
// confirmed.
struct Digest {
  1: i64 control_version
  2: i32 sequence
  3: list<EngineName> names
  4: list<EngineLoad> loads
  5: list<TeamLoad> teams
  6: bool leaving
  7: i64 confirmed_age_ms
  8: list<string> halts
  10: list<Drain> drains
  11: list<i32> changes
  12: list<ServiceCapacity> capacities
}

// Asks a chat's owner where to place a request; an empty entry stands for the sender.
struct Ask {
  1: string request_id
  2: string service_name
  3: i64 chat
  4: i32 prompt_tokens
  5: i32 output_tokens
  6: string team
  7: i16 priority
  8: list<string> exclude
  9: string entry
}

struct Placed {
  1: string upstream
  2: string reason
  3: i32 passed_over
  4: i64 reservation
  5: i32 retry_after_ms
  6: list<string> passed
}

// Asks an engine's steward to admit work.
struct Reserve {
  1: string request_id
  2: string upstream
  3: i32 work_tokens
  4: string entry
  5: double mean_work_tokens
  6: double mean_requests
  7: bool forced
}

struct Granted {
  1: bool granted
  2: string reason
  3: i32 work_tokens
  4: i32 limit_tokens
  5: i32 requests
}

// Ends reservations of an entry instance; an empty entry stands for the sender.
struct Release {
  1: string upstream
  2: list<string> request_ids
  3: string entry
}

// Registers the sender's live reservations with a new steward.
struct Holding {
  1: string request_id
  2: i32 work_tokens
}

struct Holdings {
  1: string upstream
  2: list<Holding> holdings
  3: string entry
}

// Reports to an engine's steward what the sender observed of it. incarnation 0: not known; failed: a connection broke.
struct Observed {
  1: string upstream
  2: i64 incarnation
  3: bool failed
}

// Tells a chat's owner that the sender no longer waits for its answer; the owner releases its reservations.
struct Abandoned {
  1: list<string> request_ids
  2: string entry
}

// Tokens of a chat in an engine's cache; 0: the chat was evicted.
struct CacheEvent {
  1: i64 chat
  2: i32 tokens
}

// Forwards an engine's cache events to the owner of the chats. gap: earlier events were lost; replayed: the events were
// sent to an earlier owner before.
struct CacheEvents {
  1: string upstream
  2: list<CacheEvent> events
  3: bool gap
  4: bool replayed
}

struct PullChanges {
  1: i64 after
  2: i32 limit
}

struct Change {
  1: i64 version
  2: binary body
}

// snapshot holds the full state if the sender no longer has the requested changes.
// confirmed_age_ms is the time since the platform last confirmed latest as the newest version; -1: never.
struct Changes {
  1: list<Change> changes
  2: i64 latest
  3: i64 confirmed_age_ms
  4: optional Change snapshot
}

struct ChangeNotice {
  1: i64 version
}

struct TablePut {
  1: string key
  2: optional binary value
  3: optional i64 expect
}

// Asks the domain's writer to commit each group of puts atomically in its next batch.
struct Commit {
  1: list<TablePut> puts
}

// status: 0 committed, 1 conflict, 2 not committed, 3 unknown.
struct Committed {
  1: i16 status
  2: list<i32> conflicts
}

struct RouteEvidence {
  1: string route
  2: i32 requests
  3: i32 failures
  4: i32 slow
}

// Outcomes that the sender counted on a version since the move began, by route; counts only grow.
struct Evidence {
  1: string move
  2: string version
  3: list<RouteEvidence> routes
}

// Halts the move to a version on all instances; halts are never withdrawn.
struct Halt {
  1: string move
  2: string version
  3: string reason
}

// Row of a move as last read by the instance that reads the table for its domain; version is the row's version.
struct MoveNotice {
  1: string key
  2: i64 version
  3: binary body
  // Engines that were ordered to load the new version, so that receivers need not wait for a probe.
  4: list<string> ordered
}

struct StatusRequest {
}

struct Status {
  1: binary body
}

// Asks a peer for its last list of upstreams; known is the digest of the sender's list, or 0 if it has none.
struct ListUpstreams {
  1: i64 known
}

struct ListedUpstream {
  1: string name
  2: string service_name
  3: string domain
  4: string address
  5: bool leaving
}

// age_ms is the time since the platform sent the list; -1: never. unchanged: the asker has this list; it is left out.
struct Upstreams {
  1: i64 age_ms
  2: bool unchanged
  3: list<ListedUpstream> upstreams
}

// Loads that engines reported in answers to an instance; items at the same position of the lists belong together.
// slowness_percent: how long work takes there, 100 as usual; 0: not reported. Unset if no engine reported it.
struct HeardLoads {
  1: list<string> incarnations
  2: list<i32> requests
  3: list<i32> ages_ms
  4: optional list<i16> slowness_percent
}

// Limits on requests a second that upstreams named in answers to an instance or to its peers; -1: the upstream named
// none. Items at the same position of the lists belong together.
struct HeardLimits {
  1: list<string> incarnations
  2: list<double> limits_per_s
  3: list<i32> ages_ms
}

// What callers asked of a service, in thousandths of a request a second: what arrived and ended by level, and for how
// long the ended ones ran, and what was placed; running is in thousandths of a request. Items at the same position of
// levels, arrived, ended and seconds, and of teams, recent and usual, belong together. A level is twice the rank, and one
// more for what a team sends beyond its usual amount. With instance set, the figures are of that instance; with domain
// alone, of all instances of the domain; without both, of all instances, and teams holds those that send too much, with
// the amount that counts as usual.
struct HeardDemand {
  1: string instance
  2: string domain
  3: string service_name
  4: i32 age_ms
  5: list<i32> levels
  6: list<i32> arrived
  7: i32 placed
  8: list<string> teams
  9: list<i32> recent
  10: list<i32> usual
  11: i32 running
  12: list<i32> ended
  13: list<i32> seconds
}

// Asks for the changes of the store's tables; known maps table names to the revisions that the sender has.
struct FetchTables {
  1: map<string, i64> known
  // The longest time to delay the answer until there is a change.
  2: optional i32 wait_ms
  // The loads that engines reported to the sender since its last request.
  3: optional HeardLoads loads
  4: optional HeardLimits limits
  // The eras of the sender's tables, by name; unset if the store names none.
  5: optional map<string, i64> eras
  // The digests of kept rows that the receiver sent last, by table.
  6: optional map<string, i64> kept
  // The digests of the sender's own kept rows, by table.
  7: optional map<string, i64> own_kept
  // The sender's row in the table of instances, which a follower of its domain renews.
  8: optional RelayedRow member
  9: optional list<HeardDemand> demands
}

// era, gone and left_ms are set in kept rows only: the era of version, whether the row was removed, and the time for
// which it is kept, unset without an end.
struct RelayedRow {
  1: string key
  2: binary value
  3: i64 version
  // The value is compressed with zlib (RFC 1950).
  4: optional bool packed
  5: optional i64 era
  6: optional bool gone
  7: optional i32 left_ms
}

// One table as its sender has it. confirmed_age_ms is the time since it was last known to be up to date; -1: never.
// If rows is unset, nothing changed since the asker's revision. whole: rows is the whole table, not only its changes.
struct RelayedTable {
  1: string name
  2: i64 revision
  3: i64 confirmed_age_ms
  4: optional list<RelayedRow> rows
  5: optional bool whole
  6: optional list<RelayedRow> removed
  // Revisions count within this era. Rows up to revision base may be from the store's older copy; kept holds rows of
  // older eras that are in force in their place, unset if the asker has those of this digest.
  7: optional i64 era
  8: optional i64 base
  9: optional list<RelayedRow> kept
  10: optional i64 kept_digest
}

struct FetchedTables {
  1: list<RelayedTable> tables
  // Recent loads that engines reported to the answering instance or that other instances sent to it.
  2: optional HeardLoads loads
  3: optional HeardLimits limits
  8: optional list<HeardDemand> demands
}

// An engine that ended while it began to answer on a part of a prompt.
struct EngineEnd {
  1: string engine
  2: i32 age_ms
}

// What is known of a part; good_age_ms is the time since the last complete answer on it, unset if none is known.
struct KnownPart {
  1: string key
  2: list<EngineEnd> ends
  3: optional i32 good_age_ms
}

// Evidence about parts; its answer has what the sender did not tell.
struct PartEvidence {
  1: list<KnownPart> parts
  // The parts are new to the sender; the answer needs to hold nothing about others.
  2: optional bool news
}

// Requests that began to run in a window of usage reports, by team: totals that only grow. Items at the same position
// belong together.
struct WindowCounts {
  1: i64 window
  2: list<string> teams
  3: list<i32> counts
}

// Counts of one process, sent to the followers of its domain; unix_ms is its time of day, and complete the last window
// of which all counts were sent.
struct CountReport {
  1: string source
  2: string domain
  3: i64 unix_ms
  4: i64 complete
  5: list<WindowCounts> windows
}

// Answers a report. A sender that gets another incarnation than before sends all its counts again.
struct CountReceipt {
  1: i64 incarnation
  2: i64 unix_ms
}

// Asks a follower for the counts of a domain; sources limits the packed counts, which are left out if it is unset.
// unix_ms is the time of day by the fleet's median.
struct CountQuery {
  1: i64 window
  2: string domain
  3: optional list<i64> sources
  4: optional i64 unix_ms
}

// Sources are named by a hash, with their requests in the window. pending: sources that have not sent all counts yet.
// packed: a WindowCounts of the asked sources together, compressed with zlib (RFC 1950).
struct CountAnswer {
  1: list<i64> sources
  2: list<i64> totals
  3: i32 pending
  4: optional binary packed
  5: i64 unix_ms
}

// Asks a follower for the loads of its domain's upstreams.
struct LoadQuery {
  1: string domain
}

// Live upstreams of services in a domain, their slots, their estimated requests in hundredths, and how many of them
// reported lately; items at the same position belong together. disturbed: a domain is evacuated or unreachable.
struct DomainLoads {
  1: list<string> services
  2: list<i32> live
  3: list<i32> slots
  4: list<i32> requests
  5: list<i32> fresh
  6: bool disturbed
}

// Counts of the processes of a domain, copied by one of its followers to one of the next domain.
struct CountCopy {
  1: list<CountReport> reports
}
