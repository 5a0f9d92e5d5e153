/* Messages between nodes. Unknown fields are skipped, so that versions can mix. */
namespace py papayatack.wire

struct LeaseId { 1: string incarnation, 2: i32 term }

/* Control: see papayatack/core/messages.py. */
struct ConfigRead { 1: string reader, 2: i64 read_us }
struct Renew {
  1: LeaseId lease, 2: i64 round, 3: i64 floor,
  4: i64 config_offset, 5: i64 ownership_offset, 6: i64 heard,
  7: optional i64 config_age_us, 8: optional ConfigRead config_read
}
struct RenewReply {
  1: LeaseId lease, 2: i64 round, 3: i64 promised_us, 4: bool fenced,
  5: i64 config_offset, 6: i64 ownership_offset, 7: optional i64 config_age_us,
  8: optional bool permanent, 9: optional ConfigRead config_read
}
struct ConfigPosition {
  1: i64 offset, 2: i64 age_us, 3: optional i64 response_us, 4: optional ConfigRead read
}
struct Fence { 1: LeaseId lease, 2: bool resigned }
struct FenceReply {
  1: LeaseId lease, 2: bool fenced, 3: i64 floor, 4: i64 remaining_us, 5: bool drained
}
struct LeaseLapsed { 1: LeaseId lease }
struct LeaseFenced { 1: LeaseId lease }
struct LogQuery { 1: string stream, 2: i64 offset }
struct LogUnreachable { 1: string stream }
struct Release {
  1: LeaseId lease, 2: list<string> shards, 3: list<i64> epochs, 4: list<string> handovers
}
struct ReleaseQuery {
  1: LeaseId asker, 2: LeaseId lease, 3: list<string> shards, 4: list<i64> epochs
}
struct RelayRecord { 1: binary payload }
struct LogBatch {
  1: string stream, 2: i64 first, 3: list<binary> payloads, 4: list<binary> packed,
  5: optional i32 hops, 6: optional i64 age_us
}
struct ShardLoad { 1: string shard, 2: double rate, 3: double busy }
struct LoadReport {
  1: string incarnation, 2: double busy,
  3: list<ShardLoad> shards, 4: list<ShardLoad> hot_keys, 5: bool leaving,
  6: double service_s, 7: double requests_per_s
}
struct OutcomeQuery { 1: string shard, 2: i64 epoch, 3: i64 index }
struct AnswerField { 1: binary name, 2: binary value }
struct KeyOutcome {
  1: string key, 2: binary fingerprint, 3: i64 remaining_us,
  4: i64 status, 5: list<AnswerField> headers, 6: binary body
}
struct OutcomePart {
  1: string shard, 2: i64 epoch, 3: i64 index, 4: bool last,
  5: i64 unknown_remaining_us, 6: i64 unknown_before, 7: list<KeyOutcome> outcomes
}
struct Suspicion {
  1: string fingerprint, 2: string head, 3: string service_name, 4: string caller,
  5: i64 generation, 6: i64 rounds, 7: string variant, 8: bool is_shared,
  9: string request_id, 10: list<string> upstreams
}
struct SuspectReport { 1: list<Suspicion> suspicions }
struct Control {
  1: string sender, 2: string recipient,
  10: optional Renew renew, 11: optional RenewReply renew_reply,
  12: optional Fence fence, 13: optional FenceReply fence_reply,
  14: optional Release release, 15: optional ReleaseQuery release_query,
  16: optional LogBatch log_batch, 17: optional LoadReport load_report,
  18: optional LeaseLapsed lease_lapsed, 19: optional LeaseFenced lease_fenced,
  20: optional LogQuery log_query, 21: optional OutcomeQuery outcome_query,
  22: optional OutcomePart outcome_part, 23: optional RelayRecord relay_record,
  24: optional LogUnreachable log_unreachable, 25: optional SuspectReport suspect_report,
  26: optional ConfigPosition config_position
}

/* Data: one request is one stream on the connection of a pair of nodes. */
struct Header { 1: binary name, 2: binary value }
struct RequestHead {
  1: string service_name, 2: string shard, 3: string key, 4: binary method,
  5: binary target, 6: list<Header> headers, 7: i64 deadline_us, 8: string partner,
  9: string request_class, 10: double cost, 11: bool repeatable, 12: string request_id,
  13: string idempotency_key, 14: i32 hops, 15: string recipient,
  16: optional i64 target_us, 17: optional i64 sent_us, 18: optional i32 crashes,
  19: optional bool is_call, 20: optional i32 rank
}
struct NodeLoad {
  1: i32 wait_us, 2: i64 work_us, 3: i32 slots, 4: i32 service_us,
  5: optional i32 pace_permille, 6: optional i64 requests_per_1000_s
}
struct ResponseHead {
  1: i32 status, 2: binary reason, 3: list<Header> headers, 4: optional NodeLoad load
}
struct Body { 1: binary data, 2: bool final }
struct Window { 1: i32 bytes }
struct Failure {
  1: string kind, 2: string detail, 3: i64 retry_after_us, 4: string key_token,
  5: optional NodeLoad load
}
struct Cancel { 1: string reason }
struct Hello {
  1: string incarnation, 2: i32 protocol, 3: bool reply_wanted, 4: optional i64 sent_us
}
/* Asks the peer to send no more requests on this connection, and to end it once all are
   answered. */
struct GoAway { 1: optional string reason }
struct Frame {
  1: i32 stream,
  2: optional Control control, 3: optional RequestHead request,
  4: optional ResponseHead response, 5: optional Body body, 6: optional Window window,
  7: optional Failure failure, 8: optional Cancel cancel, 9: optional Hello hello,
  10: optional GoAway go_away
}
