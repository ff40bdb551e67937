"""Tests that the bytes among instances of two builds stay the same."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.adapters.codec import PeerCodec, expand
from baobabthread.instance.canaries import CanaryPermit, CanaryReport, CanaryVerdict
from baobabthread.instance.conditions import ConditionReport
from baobabthread.instance.quarantine import QuarantineDigest, QuarantineEntries
from baobabthread.instance.replicasync import ReplicaQuery, ReplicaReply
from baobabthread.instance.servers.placement import (
    LoadsReply,
    LoadsRequest,
    PromptEnded,
    PromptPlaced,
)
from baobabthread.instance.sessions import (
    SessionHandover,
    SessionUseAck,
    SessionUseReport,
    VersionQuery,
    VersionReply,
)
from baobabthread.routing.configuration import RolloutStatus
from baobabthread.routing.crashes import Crash
from baobabthread.routing.progress import Progress
from baobabthread.routing.snapshots import Snapshot

MESSAGES: dict[type[msgspec.Struct], bytes] = {
    LoadsRequest: (
        b'{"type":"loads.ask","sequence":1,"engines":["s2"],"parts":[[3,4]]}'
    ),
    LoadsReply: (b'{"type":"loads.are","sequence":1,"loads":[[2.5,3]]}'),
    PromptPlaced: (
        b'{"type":"loads.placed","engine":"s1","placed":{"number":2,"reading_s":'
        b'3.5,"lasts_s":4.5,"parts":[[5,6]],"memory_tokens":7}}'
    ),
    PromptEnded: (b'{"type":"loads.ended","engine":"s1","number":2,"end":"silent"}'),
    Crash: (
        b'{"type":"crash.seen","backend":"s1","service":"s2","version":"s3","is_'
        b'proven":true,"fresh":["s5"],"older":["s6"]}'
    ),
    QuarantineDigest: (b'{"type":"quarantine.compare","digest":1,"asks":true}'),
    QuarantineEntries: (
        b'{"type":"quarantine.are","entries":[{"fingerprint":"s1","service":"s2"'
        b',"times":3,"left_s":4.5,"is_cleared":true,"versions":["s6"]}],"is_comp'
        b'lete":true,"wants_reply":true}'
    ),
    ReplicaQuery: (
        b'{"type":"knowledge.ask","sequence":1,"backends_end":2,"operators_end":3}'
    ),
    ReplicaReply: (
        b'{"type":"knowledge.is","sequence":1,"operators_end":2,"operators_age_s'
        b'":3.5,"backends_end":4,"backends_changed_at":5,"backends_age_s":6.5,"s'
        b'ince":7,"changed":[{"id":"s8","service":"s9","address":"s10","failure_'
        b'domain":"s11","version":"s12","capacity":13,"leaving":true,"started_ms'
        b'":15,"cold_left_s":16.5}],"gone":["s17"],"steps":[{"since":18,"end":19'
        b',"configuration":{"before":20,"after":21,"check":22,"routes":[{"name":'
        b'"s23","host":"s24","path_prefix":"s25","repeatability":"stream","targe'
        b'ts":[{"service":"s26","weight":27.5}],"timeout_s":28.5,"objective_s":2'
        b'9.5,"priority":30,"max_attempts":31,"models":["s32"],"public":true,"ha'
        b's_prompts":true,"resumable":true,"pause_s":36.5,"homes":["s37"]}],"rou'
        b'tes_gone":["s38"],"accounts":[{"name":"s39","keys":["s40"],"priority":'
        b'41,"homes":["s42"]}],"accounts_gone":["s43"],"services":[{"name":"s44"'
        b',"max_connections":45,"capacity":46,"memory_tokens":47,"models":[{"nam'
        b'e":"s48","cost":49.5}],"cold_s":50.5,"cold_rate":51.5}],"services_gone'
        b'":["s52"],"limits":{"max_header_bytes":53,"max_body_bytes":54,"idle_ti'
        b'meout_s":55.5}},"orders":[{"number":56,"service":"s57","target":"s58",'
        b'"time_limit_s":59.5}],"evacuations":[{"number":60,"failure_domain":"s6'
        b'1","is_on":true}]}]}'
    ),
    VersionQuery: (
        b'{"type":"session.ask","sequence":1,"service":"s2","number":3,"session":"s4"}'
    ),
    VersionReply: (b'{"type":"session.is","sequence":1,"is_new":true}'),
    SessionUseReport: (
        b'{"type":"session.uses","sequence":1,"service":"s2","number":3,"ages":{'
        b'"s4":5.5},"moved":["s6"]}'
    ),
    SessionUseAck: (b'{"type":"session.noted","sequence":1}'),
    SessionHandover: (b'{"type":"session.left","service":"s1","ages":{"s2":3.5}}'),
    CanaryReport: (
        b'{"type":"trial.word","origin":"s1","progress":{"service":"s2","number"'
        b':3,"elapsed_s":4.5,"share":5.5,"old_running":6,"alarm":"s7","is_suspic'
        b'ious":true,"is_final":true,"base":"s10","has_begun":true,"total":{"req'
        b'uests":12,"exposed":13,"attempts":14},"admits":true,"end_part":16.5,"s'
        b'tate":"reverted"},"evidence":{"number":17,"counts":[[true,"s19","laten'
        b'cy",20,21]]},"exposure":{"requests":22,"exposed":23,"attempts":24},"se'
        b'nt_at":25.5,"needs_permit":true}'
    ),
    CanaryPermit: (
        b'{"type":"trial.permit","progress":{"service":"s1","number":2,"elapsed_'
        b's":3.5,"share":4.5,"old_running":5,"alarm":"s6","is_suspicious":true,"'
        b'is_final":true,"base":"s9","has_begun":true,"total":{"requests":11,"ex'
        b'posed":12,"attempts":13},"admits":true,"end_part":15.5,"state":"revert'
        b'ed"},"sent_at":16.5}'
    ),
    CanaryVerdict: (
        b'{"type":"trial.verdict","progress":{"service":"s1","number":2,"elapsed'
        b'_s":3.5,"share":4.5,"old_running":5,"alarm":"s6","is_suspicious":true,'
        b'"is_final":true,"base":"s9","has_begun":true,"total":{"requests":11,"e'
        b'xposed":12,"attempts":13},"admits":true,"end_part":15.5,"state":"rever'
        b'ted"}}'
    ),
}
"""One message of each type, every field set, as an instance writes it."""
VALUES: dict[type[msgspec.Struct], bytes] = {
    Snapshot: (
        b'{"operators_end":1,"operators_age_s":2.5,"configuration":{"version":3,'
        b'"routes":[{"name":"s4","host":"s5","path_prefix":"s6","repeatability":'
        b'"stream","targets":[{"service":"s7","weight":8.5}],"timeout_s":9.5,"ob'
        b'jective_s":10.5,"priority":11,"max_attempts":12,"models":["s13"],"publ'
        b'ic":true,"has_prompts":true,"resumable":true,"pause_s":17.5,"homes":["'
        b's18"]}],"services":[{"name":"s19","max_connections":20,"capacity":21,"'
        b'memory_tokens":22,"models":[{"name":"s23","cost":24.5}],"cold_s":25.5,'
        b'"cold_rate":26.5}],"limits":{"max_header_bytes":27,"max_body_bytes":28'
        b',"idle_timeout_s":29.5},"accounts":[{"name":"s30","keys":["s31"],"prio'
        b'rity":32,"homes":["s33"]}]},"orders":[{"number":34,"service":"s35","ta'
        b'rget":"s36","time_limit_s":37.5}],"backends_end":38,"backends_age_s":3'
        b'9.5,"backends":[{"id":"s40","service":"s41","address":"s42","failure_d'
        b'omain":"s43","version":"s44","capacity":45,"leaving":true,"started_ms"'
        b':47,"cold_left_s":48.5}],"evacuations":[{"number":49,"failure_domain":'
        b'"s50","is_on":true}]}'
    ),
    ConditionReport: (b'{"is_stale":true,"number":2}'),
    Progress: (
        b'{"service":"s1","number":2,"elapsed_s":3.5,"share":4.5,"old_running":5'
        b',"alarm":"s6","is_suspicious":true,"is_final":true,"base":"s9","has_be'
        b'gun":true,"total":{"requests":11,"exposed":12,"attempts":13},"admits":'
        b'true,"end_part":15.5,"state":"reverted"}'
    ),
    RolloutStatus: (
        b'{"service":"s1","target":"s2","state":"reverted","number":3,"elapsed_s":4.5}'
    ),
}
"""Values that instances gossip or fetch from each other."""
CODEC = PeerCodec(types=tuple(MESSAGES))


@pytest.mark.parametrize("kind", MESSAGES, ids=lambda kind: kind.__name__)
def test_exchange_messages_with_instances_of_an_earlier_build(
    kind: type[msgspec.Struct],
) -> None:
    """A field or tag is renamed on the wire while two builds run side by side."""
    body = b'{"sender":"i1","messages":[' + MESSAGES[kind] + b"]}"
    sender, messages = CODEC.decode(body)
    assert sender == "i1"
    assert [type(message) for message in messages] == [kind]
    assert expand(CODEC.encode(sender, messages)) == body


@pytest.mark.parametrize("kind", VALUES, ids=lambda kind: kind.__name__)
def test_exchange_values_with_instances_of_an_earlier_build(
    kind: type[msgspec.Struct],
) -> None:
    """A field is renamed in what instances gossip or fetch from each other."""
    value = msgspec.json.decode(VALUES[kind], type=kind, strict=True)
    assert msgspec.json.encode(value) == VALUES[kind]
