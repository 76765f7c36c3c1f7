// Encodings of the samples of formatsamples.h in hexadecimal, made by the encoders of the builds that introduced each
// format version. They never change: a type with another encoding needs a new version.
#pragma once

#include <map>
#include <string>

namespace daisyrelay {

// clang-format off

/// The same in all versions.
inline const std::map<std::string, std::string> CommonBytes {
    { "DecidePromotion",
        "06017302623105" },
    { "EntryReport",
        "0276310205656e747279004d00000000000001026231040001017302623101000101740600010200000000" },
    { "ForwardedControlRequest",
        "027631080504026231f6a1abfef96201730831302e302e302e31903f017a0201000c" },
    { "ForwardedControlResponse",
        "0276310a050004626f6479026331" },
    { "ForwardedSessionEnd",
        "027631100809" },
    { "ForwardedStatement",
        "0276310c080002646201730000b8170000000000040000000000010000000001046e616d650576616c75650000000378000000" },
    { "ForwardedStatementResponse",
        "0276310e0000000000000001000000000000000000" },
    { "HeartbeatDigest",
        "0276311a034d020001026231020203" },
    { "HeartbeatDigestResponse",
        "0276311c034d020901026331" },
    { "HomeProbe",
        "0276311e0809" },
    { "HomeProbeResponse",
        "02763120080901" },
    { "LeaderHint",
        "0276310602633101026332" },
    { "LogRecord",
        "00040263310b00000701040a07636f6d6d616e6400" },
    { "Membership",
        "010263310b01017a" },
    { "PositionRequest",
        "02763112017304" },
    { "PositionResponse",
        "027631140000000000" },
    { "PutConfiguration",
        "00ac020102646201730000b8170000000101731001000000000474657874" },
    { "RaftMessage",
        "027631000402633100000400000000000001040a07636f6d6d616e6400000000017a00" },
    { "RaftSnapshot",
        "0903010263310b01017a057374617465" },
    { "RateLimitGrant",
        "02763118000000010000" },
    { "RateLimitRequest",
        "0276311600000000" },
    { "RecordBackend",
        "02026231f6a1abfef96201730831302e302e302e31903f017a020100" },
    { "RecordPrimary",
        "08017302623101" },
    { "RemoveBackend",
        "0402623118" },
};

/// Made by commit 279942b.
inline const std::map<std::string, std::string> SingleLeaseBytes {
    { "EmptyEntryUpdate",
        "027631040000000000010000000001000000000000000000" },
    { "EntryUpdate",
        "0276310403c8014dac0205627974657300090101026231f6a1abfef96201730831302e302e302e31903f017a0201000101730262"
        "31080001026231040102633100c801010101730509f02e010174060000000c" },
    { "SupervisionSnapshot",
        "ac020102646201730000b81700000001017310010000000004746578740901026231f6a1abfef96201730831302e302e302e3190"
        "3f017a020100010173026231080001017402623207" },
};

/// Made by commit 5be1b29.
inline const std::map<std::string, std::string> LeaseHolderBytes {
    { "EmptyEntryUpdate",
        "02763104000000000001000000000100000000000000000000" },
    { "EntryUpdate",
        "0276310403c8014dac0205627974657300090101026231f6a1abfef96201730831302e302e302e31903f017a0201000101730262"
        "31080001026231040102633100c80101010173bc050509f02eb817010174060000000c" },
    { "RegisterLeaseHolder",
        "0a026531017a" },
    { "RemoveLeaseHolder",
        "0c0265310e" },
    { "SupervisionSnapshot",
        "ac020102646201730000b81700000001017310010000000004746578740901026231f6a1abfef96201730831302e302e302e3190"
        "3f017a02010001017302623108000101740262320701026531017a0d" },
};

// clang-format on

} // namespace daisyrelay
