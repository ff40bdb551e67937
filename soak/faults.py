"""The faults that a run draws from; each injects one, waits and heals it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from baobabthread.core.registry import Registry
from soak.callers import Caller
from soak.crowds import (
    CROWDED,
    LEAST_INSTANCES,
    UNDISTURBED_S,
    crowd_service,
    disrupt_instance,
)
from soak.endless import BEHAVIOURS, ENDLESS, record_peaks, send_without_end
from soak.hostile import SCRIPTS, HostileClient, open_crowd
from soak.instances import APPLY_S, EVACUATION_S, SERVER_DOMAINS
from soak.notices import (
    REST,
    WORKS_ON_S,
    ask_for_rest,
    keep_store_away,
    let_record_lapse,
    tell_departure,
)
from soak.oddrecords import ODD, write_odd_records
from soak.outages import LOST_SERVERS, lose_servers
from soak.partitions import Cut
from soak.parts import CRASHING_PART, crash_by_part
from soak.promises import CONTACT_S
from soak.proxies import Mode, Proxy
from soak.rejections import LONGEST_S, REJECTS, reject_all
from soak.restores import OLDEST_S, RESTORED, restore_store, write_again
from soak.site import COLD_S, ENGINE, LEAVING, PLAIN, Backend, Site
from soak.withdrawals import WITHDRAWN, withdraw_record

SHORT_S = 0.4
LONG_S = 2.5
LEAST_OPEN = 1
"""Failure domains that are not evacuated, so that callers can be served."""
LEAST_REACHING = 1
"""Instances that reach the backend servers while others don't."""
LONGEST_PARTITION_S = 9.0
HOSTILE = "hostile clients"
UNKNOWN_ROUTE = b"GET /unknown/x HTTP/1.1\r\nHost: api.example\r\n\r\n"
"""Head of the requests of hostile clients, which reach no backend server."""
HOSTILE_CROWDS = (5, 50, 200)
"""Sizes of a crowd of hostile clients."""
LEAVE_S = 2.5
"""How long a backend server that leaves works on."""

Inject = Callable[[Site], Coroutine[Any, Any, None]]
FAULTS: Registry[Inject] = Registry(what="fault")


def _draw_s(site: Site) -> float:
    return site.rng.uniform(SHORT_S, LONG_S)


# -- processes --


@FAULTS.register("term")
async def terminate_one(site: Site) -> None:
    """Stop one instance gracefully; it starts again."""
    machine = site.rng.choice(site.machines)
    with site.note("term", machine.index):
        await machine.terminate()


@FAULTS.register("term in turn")
async def terminate_in_turn(site: Site) -> None:
    """Stop all instances one after the other."""
    for machine in list(site.machines):
        with site.note("term", machine.index):
            await machine.terminate()
            await asyncio.sleep(0.5)


@FAULTS.register("kill")
async def kill_one(site: Site) -> None:
    """Kill one instance."""
    machine = site.rng.choice(site.machines)
    with site.note("kill"):
        await machine.kill()
        await asyncio.sleep(0.8)


@FAULTS.register("kill all")
async def kill_all(site: Site) -> None:
    """Kill all instances at the same moment."""
    with site.note("kill all"):
        await asyncio.gather(*(machine.kill() for machine in site.machines))
        await asyncio.sleep(1.5)


@FAULTS.register("pause")
async def pause_one(site: Site) -> None:
    """Let one instance stand still and wake again."""
    machine = site.rng.choice(site.machines)
    with site.note("pause"):
        await machine.pause(site.rng.uniform(SHORT_S, 5.0))
        await asyncio.sleep(0.8)


@FAULTS.register("hup")
async def hang_up(site: Site) -> None:
    """Tell all instances that their settings changed."""
    with site.note("hup"):
        for machine in site.machines:
            machine.send(signal.SIGHUP)
        await asyncio.sleep(0.2)


# -- clients --


@FAULTS.register(HOSTILE)
async def meet_hostile_clients(site: Site) -> None:
    """Let clients that ignore the limits press one instance."""
    machine = site.rng.choice(site.machines)
    scripts = site.rng.sample(list(SCRIPTS), 2)
    clients = [
        HostileClient(
            address=site.rng.choice((machine.front, machine.directory)),
            script=site.rng.choice(scripts),
            head=UNKNOWN_ROUTE,
            seed=site.rng.randrange(10**6),
            pause_s=site.rng.choice((0.0, 0.01, 0.1)),
            keeps_s=site.rng.choice((None, 0.0, 0.5)),
            resets=site.rng.random() < 0.5,
        )
        for _ in range(site.rng.choice(HOSTILE_CROWDS))
    ]
    with site.note(HOSTILE, machine.index):
        async with open_crowd(clients):
            await asyncio.sleep(_draw_s(site))
        record_peaks(site)
        await asyncio.sleep(0.5)


# -- the store --


async def _harm_store(site: Site, fault: str) -> None:
    with site.note(f"store {fault}"):
        site.store.fault = fault
        await asyncio.sleep(site.rng.uniform(SHORT_S, 5.0))
        site.store.fault = ""
        await asyncio.sleep(1.0)


@FAULTS.register("store busy")
async def keep_store_busy(site: Site) -> None:
    """Let the store refuse everybody."""
    await _harm_store(site, "busy")


@FAULTS.register("store silent")
async def silence_store(site: Site) -> None:
    """Let the store answer nobody."""
    await _harm_store(site, "silent")


@FAULTS.register("store slow")
async def slow_store(site: Site) -> None:
    """Let the store's answers trickle."""
    await _harm_store(site, "trickle")


@FAULTS.register("store loses answers")
async def lose_answers(site: Site) -> None:
    """Let the store do what it is asked and never say so."""
    await _harm_store(site, "lost")


@FAULTS.register("store forgets")
async def forget_history(site: Site) -> None:
    """Drop the history: only the newest record of each key is left."""
    with site.note("store forgets"):
        for topic, records in site.store.topics.items():
            site.store.first_offsets[topic] = len(records)
        await asyncio.sleep(0.5)


@FAULTS.register(RESTORED)
async def restore_from_a_copy(site: Site) -> None:
    """Let the store come back from a copy, also twice in a row, and change things."""
    with site.note(RESTORED):
        for _ in range(site.rng.randint(1, 2)):
            lost = await restore_store(site, site.rng.uniform(0.5, OLDEST_S))
            if site.rng.random() < 0.5:
                site.add_route()
            await write_again(site, lost)
            await asyncio.sleep(site.rng.uniform(0.3, 1.5))
        await asyncio.sleep(1.0)


@FAULTS.register(LOST_SERVERS)
async def lose_all_servers(site: Site) -> None:
    """Let the store come back without servers, which write their records again."""
    await lose_servers(site)


async def _harm_proxies(site: Site, name: str, proxies: list[Proxy]) -> None:
    mode = site.rng.choice([Mode.DELAY, Mode.SILENT, Mode.DEAF, Mode.RESET])
    with site.note(f"{name} {mode}"):
        for proxy in proxies:
            proxy.set_mode(mode, delay_s=site.rng.uniform(0.05, 0.6))
        await asyncio.sleep(site.rng.uniform(SHORT_S, 5.0))
        for proxy in proxies:
            proxy.set_mode(Mode.PASS)
        await asyncio.sleep(1.0)


@FAULTS.register("cut from the store")
async def cut_from_store(site: Site) -> None:
    """Harm the way of some instances to the store; the others reach it."""
    count = site.rng.randint(1, max(1, len(site.store_proxies) - 1))
    await _harm_proxies(site, "store link", site.rng.sample(site.store_proxies, count))


# -- backend servers --


async def _harm_backend(site: Site, backend: Backend, behaviour: str) -> None:
    with site.note(f"backend {behaviour}"):
        backend.troubles += 1
        backend.fake.behaviour = behaviour
        await asyncio.sleep(_draw_s(site))
        backend.fake.behaviour = "answer"
        await asyncio.sleep(0.5)
        backend.troubles -= 1


@FAULTS.register("bad answers")
async def answer_badly(site: Site) -> None:
    """Let one backend server answer in a bad way."""
    backend = site.pick_backend()
    if backend is None:
        return
    ways = ["fail", "shed", "mute", "cut", "extra", "other_id", "unsigned"]
    ways += ["unframed", "unframed_reset"]
    if backend.fake.service == ENGINE:
        ways = ["fail", "shed", "mute", "stream_cut", "other_id"]
    await _harm_backend(site, backend, site.rng.choice(ways))


@FAULTS.register("link to a backend")
async def harm_link(site: Site) -> None:
    """Harm the connections to one backend server."""
    backend = site.pick_backend()
    if backend is None:
        return
    backend.troubles += 1
    await _harm_proxies(site, "backend link", [backend.proxy])
    backend.troubles -= 1


@FAULTS.register("partition")
async def cut_from_backends(site: Site) -> None:
    """Cut some instances off from all backend servers; the others reach these."""
    whole = [index for index in site.paths if not site.is_partitioned(index)]
    if not site.has_own_paths or len(whole) < LEAST_REACHING + 1:
        return
    count = site.rng.randint(1, len(whole) - LEAST_REACHING)
    cut = site.rng.choice(list(Cut))
    async with site.partition(cut, *site.rng.sample(whole, count)):
        await asyncio.sleep(site.rng.uniform(SHORT_S, LONGEST_PARTITION_S))
    await asyncio.sleep(1.0)


@FAULTS.register("backend leaves")
async def let_backend_leave(site: Site) -> None:
    """Replace one backend server; it says so and works on for a while."""
    backend = site.pick_backend()
    if backend is None:
        return
    with site.note("configuration: backend leaves"):
        await site.add_backend(backend.fake.service)
        site.publish_backend(backend, state=LEAVING, seq=2)
        await asyncio.sleep(LEAVE_S)
        with site.note("backend gone"):
            backend.troubles += 1
            site.remove_backend(backend)
            await asyncio.sleep(0.8)


@FAULTS.register(WITHDRAWN)
async def withdraw_one(site: Site) -> None:
    """Remove the record of one backend server without a word; it serves on."""
    backend = site.pick_backend()
    if backend is not None:
        await withdraw_record(site, backend)


@FAULTS.register(ODD)
async def write_beside_servers(site: Site) -> None:
    """Let another writer leave records among those of the servers."""
    await write_odd_records(site)


@FAULTS.register("backend crashes")
async def crash_backend(site: Site) -> None:
    """Lose one backend server without a word; its record lapses later."""
    backend = site.pick_backend()
    if backend is None:
        return
    with site.note("backend crash"):
        backend.troubles += 1
        backend.proxy.set_mode(Mode.RESET)
        await site.add_backend(backend.fake.service)
        await asyncio.sleep(1.5)
        site.remove_backend(backend)


@FAULTS.register("crashing request")
async def crash_server_after_server(site: Site) -> None:
    """Let callers ask again and again for what crashes each server that begins it."""
    crashing = site.make_crashing()
    callers = [
        Caller(
            site=site, number=site.rng.randrange(1000, 10**6), seed=n, crashing=crashing
        )
        for n in range(site.rng.randint(1, 4))
    ]
    with site.note("crashing request"):
        asking = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(site.rng.uniform(5.0, 8.0))
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*asking)
        await asyncio.sleep(1.5)


@FAULTS.register(CRASHING_PART)
async def crash_under_new_requests(site: Site) -> None:
    """Let callers send ever new requests that share a part that crashes servers."""
    async with crash_by_part(site, site.make_crashing_part()):
        await asyncio.sleep(site.rng.uniform(9.0, 14.0))


@FAULTS.register("cold backend")
async def replace_by_cold_one(site: Site) -> None:
    """Replace one backend server of a service by one that is cold for some seconds."""
    backend = site.pick_backend()
    if backend is None:
        return
    with site.note("configuration: cold backend"):
        await site.add_backend(backend.fake.service, cold_s=COLD_S)
        await asyncio.sleep(COLD_S + 0.5)


@FAULTS.register("limited backend")
async def limit_backend(site: Site) -> None:
    """Let one backend server name a limit for some seconds."""
    backend = site.pick_backend()
    if backend is None:
        return
    with site.note("limited backend"):
        backend.fake.limits = (f"{site.rng.uniform(0.5, 3.0):.1f}",)
        await asyncio.sleep(site.rng.uniform(4.0, 9.0))
        backend.fake.limits = ()


@FAULTS.register("brittle backends")
async def make_brittle(site: Site) -> None:
    """Let the plain backend servers be brittle for some seconds."""
    if site.is_changed(PLAIN):
        return
    with site.note("brittle backends"):
        async with site.make_brittle(PLAIN):
            await asyncio.sleep(site.rng.uniform(2.0, 6.0))


@FAULTS.register(CROWDED)
async def crowd_plain_service(site: Site) -> None:
    """Crowd the few plain servers, and disrupt the owner or another instance."""
    if site.is_changed(PLAIN) or len(site.machines) < LEAST_INSTANCES:
        return
    async with crowd_service(site):
        await asyncio.sleep(UNDISTURBED_S)
        await disrupt_instance(site)
        await asyncio.sleep(CONTACT_S + UNDISTURBED_S)


@FAULTS.register(ENDLESS)
async def answer_without_end(site: Site) -> None:
    """Let one backend server send heads, bodies or framing without end."""
    backend = site.pick_backend()
    if backend is None:
        return
    behaviour = site.rng.choice(BEHAVIOURS)
    async with send_without_end(site, backend, behaviour):
        await asyncio.sleep(_draw_s(site))


@FAULTS.register("departure told")
async def leave_by_responses(site: Site) -> None:
    """Replace a backend server that says so in its responses, not in its record.

    Its record may lapse and return, or the store be away.
    """
    backend = site.pick_backend()
    if backend is None:
        return
    async with tell_departure(site, backend):
        way = site.rng.choice(("stays", "lapses", "store away"))
        if way == "lapses":
            await let_record_lapse(site, backend)
        if way == "store away":
            await keep_store_away(site)
        await asyncio.sleep(WORKS_ON_S)


@FAULTS.register(REST)
async def turn_away(site: Site) -> None:
    """Let one backend server reject all requests for a while and ask for rest."""
    backend = site.pick_backend()
    if backend is not None:
        await ask_for_rest(site, backend, site.rng.uniform(1.0, 5.0))


@FAULTS.register(REJECTS)
async def reject_requests(site: Site) -> None:
    """Let one backend server reject all requests for a while and name no time."""
    backend = site.pick_backend()
    if backend is not None:
        async with reject_all(site, backend):
            await asyncio.sleep(site.rng.uniform(1.0, LONGEST_S))


@FAULTS.register("evacuation")
async def evacuate_domain(site: Site) -> None:
    """Evacuate one failure domain and take that back."""
    # Taken back by one of two operators it would be open while the other one's word
    # counts, as the record is one for both.
    domains = sorted(set(SERVER_DOMAINS) - site.list_evacuated())
    if len(domains) < LEAST_OPEN + 1:
        return
    domain = site.rng.choice(domains)
    with site.note("configuration: evacuation"):
        for _ in range(site.rng.randint(1, 2)):
            if site.list_evacuated() - {domain} or domain in site.list_evacuated():
                return
            with site.evacuate(domain):
                await asyncio.sleep(site.rng.uniform(0.3, EVACUATION_S + 3.0))
            await asyncio.sleep(0.3)


@FAULTS.register("homes")
async def change_homes(site: Site) -> None:
    """Bind one route to one area, then to another one, then to none."""
    with site.note("configuration: homes"):
        for areas in (("north",), ("south",), ()):
            site.change_homes(*areas)
            await asyncio.sleep(site.rng.uniform(0.5, APPLY_S + 2.0))


# -- operators --


@FAULTS.register("configuration")
async def change_configuration(site: Site) -> None:
    """Add a route."""
    with site.note("configuration"):
        site.add_route()
        await asyncio.sleep(0.5)


@FAULTS.register("configuration storm")
async def change_often(site: Site) -> None:
    """Publish several configurations in quick succession."""
    with site.note("configuration"):
        for _ in range(6):
            site.add_route()
            await asyncio.sleep(0.08)
        await asyncio.sleep(0.5)


@FAULTS.register("revoke")
async def take_key_away(site: Site) -> None:
    """Take a key away."""
    with site.note("configuration: revoke"):
        site.revoke_key()
        await asyncio.sleep(0.5)


@FAULTS.register("revoke in an outage")
async def revoke_unheard(site: Site) -> None:
    """Take a key away while the store answers nobody, for longer than it may count."""
    with site.note("store silent"):
        site.store.fault = "silent"
        # A read that the store holds already would still bring the news.
        await asyncio.sleep(0.8)
        site.revoke_key()
        await asyncio.sleep(site.history.revocation_s + 2.0)
        site.store.fault = ""
        await asyncio.sleep(1.0)


@FAULTS.register("more backends")
async def add_backends(site: Site) -> None:
    """Add one backend server to each service."""
    with site.note("configuration: more backends"):
        await site.add_backend(PLAIN)
        await site.add_backend(ENGINE)
