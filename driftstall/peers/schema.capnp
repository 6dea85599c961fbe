@0xd1a5f2c07be94316;
# Messages between instances. Field names match the dataclasses in camel case.

struct PrefixMark { digest @0 :UInt64; tokens @1 :UInt32; }

struct Request {
  requestId @0 :Text; workspace @1 :Text; kind @2 :Text; model @3 :Text;
  inputTokens @4 :UInt32; maxTokens @5 :UInt32; prefix @6 :List(PrefixMark);
  askedAt @7 :Float64; deadline @8 :Float64;
}

struct Verdict {
  rule @0 :Text; line @1 :UInt32; rank @2 :UInt8; waitS @3 :Float64;
  mayYield @4 :Bool; mayRefuse @5 :Bool; share @6 :Float64; limitTokensPerS @7 :Float64;
  queueRank @8 :UInt8; hasQueueRank @9 :Bool;
}

struct Ask {
  group @0 :Text; entry @1 :Text; request @2 :Request; verdict @3 :Verdict; ticket @4 :Text;
  avoid @5 :List(Text);
}
struct Announce {
  group @0 :Text; entry @1 :Text; request @2 :Request; verdict @3 :Verdict;
  runnerId @4 :Text; produced @5 :UInt32;
}
struct Progress { group @0 :Text; requestId @1 :Text; produced @2 :UInt32; }
struct ProgressBatch { items @0 :List(Progress); }
struct Close {
  group @0 :Text; requestId @1 :Text; produced @2 :UInt32; finished @3 :Bool;
  reply @4 :PrefixMark; hasReply @5 :Bool;
}
struct Granted { entry @0 :Text; requestId @1 :Text; runnerId @2 :Text; rank @3 :UInt8; reason @4 :Text; }
struct Refused {
  entry @0 :Text; requestId @1 :Text; code @2 :Text; retryAfterS @3 :Float64;
  ticket @4 :Text; reason @5 :Text;
}
struct YieldAsked { entry @0 :Text; requestId @1 :Text; runnerId @2 :Text; reason @3 :Text; }
struct ResumeAsked { entry @0 :Text; requestId @1 :Text; runnerId @2 :Text; reason @3 :Text; }

struct Change {
  instanceId @0 :Text; address @1 :Text; peerAddress @2 :Text; zone @3 :Text;
  incarnation @4 :UInt64; health @5 :Text; linkMbps @6 :UInt32;
}
struct Ping { sender @0 :Text; number @1 :UInt32; onBehalf @2 :Text; changes @3 :List(Change); }
struct Ack { sender @0 :Text; number @1 :UInt32; onBehalf @2 :Text; changes @3 :List(Change); }
struct PingRequest { sender @0 :Text; number @1 :UInt32; target @2 :Text; changes @3 :List(Change); }

struct ClaimAsked { entry @0 :Text; shard @1 :UInt16; key @2 :Text; fingerprint @3 :Text; nonce @4 :Text; }
struct ClaimSettled {
  shard @0 :UInt16; key @1 :Text; nonce @2 :Text; ran @3 :Bool; status @4 :UInt16;
  contentType @5 :Text; body @6 :Text;
}
struct ClaimAnswer {
  entry @0 :Text; nonce @1 :Text; kind @2 :Text; status @3 :UInt16;
  contentType @4 :Text; body @5 :Text;
}

struct WorkspaceConfig { name @0 :Text; keySha256 @1 :Text; }
struct RunnerConfig {
  runnerId @0 :Text; address @1 :Text; zone @2 :Text; model @3 :Text; service @4 :Text;
  memoryTokens @5 :UInt32; checksFences @6 :Bool;
}
struct ConfigDocument {
  generation @0 :UInt64; policy @1 :Text; workspaces @2 :List(WorkspaceConfig);
  runners @3 :List(RunnerConfig); submissions @4 :List(Text);
}
struct ConfigOffer { sender @0 :Text; document @1 :ConfigDocument; }
struct ConfigAsked { sender @0 :Text; generation @1 :UInt64; }
struct RunnerLeaving { runnerId @0 :Text; leaving @1 :Bool; signalled @2 :Bool; }

struct Use {
  upstreamId @0 :Text; running @1 :Int32; tokens @2 :Int32; copies @3 :Int32; prefill @4 :Int32;
  exposed @5 :Int32;
}
struct RepeatCount { service @0 :Text; requests @1 :UInt32; repeats @2 :UInt32; }
struct Cordon { zone @0 :Text; revision @1 :UInt64; }
struct Cordons { at @0 :UInt64; cordons @1 :List(Cordon); }
struct RateLimit { upstreamId @0 :Text; number @1 :UInt32; perS @2 :Float64; hasPerS @3 :Bool; }
struct LeavingRecord { upstreamId @0 :Text; agoMs @1 :UInt32; }
struct GatewayReport {
  sender @0 :Text; ready @1 :Bool; platformOk @2 :Bool; routingVersion @3 :UInt64;
  uses @4 :List(Use); repeats @5 :List(RepeatCount); number @6 :UInt32; cordons @7 :Cordons;
  rateLimits @8 :List(RateLimit); storeEra @9 :UInt32; leaving @10 :List(LeavingRecord);
  platformAgeMs @11 :UInt32; upstreamLoads @12 :List(ReportedLoad);
  unreachableServices @13 :List(Text);
}
struct PartitionRecord { instanceId @0 :Text; services @1 :List(Text); }
struct ReportAck { instanceId @0 :Text; number @1 :UInt32; }
struct ZoneSummary {
  sender @0 :Text; zone @1 :Text; routingVersion @2 :UInt64; platformAgeMs @3 :UInt32;
  fleetDigest @4 :UInt64; instances @5 :UInt32; ready @6 :List(Text); uses @7 :List(Use);
  repeats @8 :List(RepeatCount); cordons @9 :Cordons;
  rateLimits @10 :List(RateLimit); storeEra @11 :UInt32; leaving @12 :List(LeavingRecord);
  upstreamLoads @13 :List(ReportedLoad); partitions @14 :List(PartitionRecord);
}
struct FleetSummary {
  sender @0 :Text; routingVersion @1 :UInt64; policyRevision @2 :UInt64;
  platformAgeMs @3 :UInt32; fleetDigest @4 :UInt64; instances @5 :UInt32;
  ready @6 :List(Text); uses @7 :List(Use); repeats @8 :List(RepeatCount);
  acks @9 :List(ReportAck); cordons @10 :Cordons;
  rateLimits @11 :List(RateLimit); storeEra @12 :UInt32; leaving @13 :List(LeavingRecord);
  upstreamLoads @14 :List(ReportedLoad); partitions @15 :List(PartitionRecord);
}
struct Upstream {
  name @0 :Text; service @1 :Text; address @2 :Text; zone @3 :Text; slots @4 :UInt64;
  state @5 :Text; revision @6 :UInt64; born @7 :UInt64; coldS @8 :Float64;
}
struct FleetAsked { sender @0 :Text; }
struct FleetOffered { sender @0 :Text; at @1 :UInt64; upstreams @2 :List(Upstream); }
struct RoutingAsked { sender @0 :Text; version @1 :UInt64; }
struct RoutingOffered { sender @0 :Text; version @1 :UInt64; text @2 :Text; }
struct UpstreamNews { sender @0 :Text; upstream @1 :Upstream; gone @2 :Bool; }

struct PlacementAsked {
  sender @0 :Text; requestId @1 :Text; service @2 :Text; promptTokens @3 :UInt32;
  outputTokens @4 :UInt32; wantsBackup @5 :Bool; avoid @6 :List(Text); takenAnyway @7 :Bool; zone @8 :Text;
}
struct PlacementGiven {
  sender @0 :Text; requestId @1 :Text; upstreamId @2 :Text; backupId @3 :Text; hasRoom @4 :Bool;
}
struct QueueAsked {
  sender @0 :Text; requestId @1 :Text; service @2 :Text; workspace @3 :Text; rank @4 :UInt32;
  routeRank @5 :UInt32; share @6 :Float64; promptTokens @7 :UInt32; outputTokens @8 :UInt32;
  holdS @9 :Float64; zone @10 :Text; avoid @11 :List(Text); wantsBackup @12 :Bool;
  waitedS @13 :Float64; startByS @14 :Float64; givesUpS @15 :Float64; mayRefuse @16 :Bool;
  ticket @17 :Text;
}
struct QueueAnswered {
  sender @0 :Text; requestId @1 :Text; outcome @2 :Text; position @3 :UInt32; forecastS @4 :Float64;
  upstreamId @5 :Text; backupId @6 :Text; retryAfterS @7 :Float64;
}
struct QueueLeft { sender @0 :Text; requestIds @1 :List(Text); }
struct HeldRun {
  requestId @0 :Text; upstreamId @1 :Text; heldTokens @2 :UInt32; remainingTokens @3 :UInt32;
  prefillTokens @4 :UInt32; backupId @5 :Text; rank @6 :UInt32; endsInS @7 :Float64;
  hasReplica @8 :Bool;
}
struct RunsReported {
  sender @0 :Text; zone @1 :Text; runs @2 :List(HeldRun);
}
struct EvacuationRequested { sender @0 :Text; upstreamId @1 :Text; noticeAgeS @2 :Float64; }
struct CopyOrdered {
  sender @0 :Text; number @1 :UInt32; requestId @2 :Text; upstreamId @3 :Text; targetId @4 :Text;
}
struct CopyEnded { sender @0 :Text; number @1 :UInt32; requestId @2 :Text; moved @3 :Bool; }
struct FollowRequested { sender @0 :Text; number @1 :UInt32; failed @2 :List(Text); }
struct FollowAnswered {
  sender @0 :Text; number @1 :UInt32; accepted @2 :Bool; failed @3 :List(Text);
}
struct ReportedLoad {
  upstreamId @0 :Text; running @1 :UInt32; waiting @2 :UInt32; slots @3 :UInt32; pace @4 :Float64;
  ageMs @5 :UInt32;
}
struct CrashTold {
  upstreamId @0 :Text; agoMs @1 :UInt32; underWay @2 :Bool; companions @3 :List(Text);
}
struct BlameTold {
  fingerprint @0 :Text; crashes @1 :List(CrashTold); wellAgoMs @2 :UInt32; hasWellAgoMs @3 :Bool;
}
struct BlamesTold { sender @0 :Text; records @1 :List(BlameTold); asks @2 :Bool; }
struct PermitAsked {
  sender @0 :Text; number @1 :UInt64; limit @2 :RateLimit; mostWaitMs @3 :UInt32; rank @4 :UInt32;
  underWay @5 :Bool;
}
struct PermitGiven { sender @0 :Text; number @1 :UInt64; allowed @2 :Bool; waitMs @3 :UInt32; }
struct RateLimitsTold { sender @0 :Text; rateLimits @1 :List(RateLimit); }
struct PermitCharged { sender @0 :Text; limit @1 :RateLimit; }
struct UpstreamDoubted { sender @0 :Text; upstreamId @1 :Text; }

struct TunnelRequested {
  sender @0 :Text; upstreamId @1 :Text; timeoutMs @2 :UInt32; requestId @3 :Text;
}
struct TunnelAnswered { sender @0 :Text; upstreamId @1 :Text; outcome @2 :Text; }

struct RetryLoanAsked {
  sender @0 :Text; number @1 :UInt32; service @2 :Text; retries @3 :Float64;
}
struct RetryLoanGiven { sender @0 :Text; number @1 :UInt32; retries @2 :Float64; }

struct Envelope {
  sender @0 :Text;
  recipient @1 :Text;
  sequence @2 :UInt64;
  union {
    ask @3 :Ask;
    announce @4 :Announce;
    progressBatch @5 :ProgressBatch;
    close @6 :Close;
    granted @7 :Granted;
    refused @8 :Refused;
    yieldAsked @9 :YieldAsked;
    resumeAsked @10 :ResumeAsked;
    ping @11 :Ping;
    ack @12 :Ack;
    pingRequest @13 :PingRequest;
    claimAsked @14 :ClaimAsked;
    claimSettled @15 :ClaimSettled;
    claimAnswer @16 :ClaimAnswer;
    configOffer @17 :ConfigOffer;
    configAsked @18 :ConfigAsked;
    runnerLeaving @19 :RunnerLeaving;
    gatewayReport @20 :GatewayReport;
    routingAsked @21 :RoutingAsked;
    routingOffered @22 :RoutingOffered;
    upstreamNews @23 :UpstreamNews;
    fleetSummary @24 :FleetSummary;
    zoneSummary @25 :ZoneSummary;
    fleetAsked @26 :FleetAsked;
    fleetOffered @27 :FleetOffered;
    upstreamDoubted @28 :UpstreamDoubted;
    placementAsked @29 :PlacementAsked;
    placementGiven @30 :PlacementGiven;
    blamesTold @31 :BlamesTold;
    permitAsked @32 :PermitAsked;
    permitGiven @33 :PermitGiven;
    permitCharged @34 :PermitCharged;
    rateLimitsTold @35 :RateLimitsTold;
    queueAsked @36 :QueueAsked;
    queueAnswered @37 :QueueAnswered;
    queueLeft @38 :QueueLeft;
    runsReported @39 :RunsReported;
    evacuationRequested @40 :EvacuationRequested;
    copyOrdered @41 :CopyOrdered;
    copyEnded @42 :CopyEnded;
    followRequested @43 :FollowRequested;
    followAnswered @44 :FollowAnswered;
    tunnelRequested @45 :TunnelRequested;
    tunnelAnswered @46 :TunnelAnswered;
    retryLoanAsked @47 :RetryLoanAsked;
    retryLoanGiven @48 :RetryLoanGiven;
  }
}
