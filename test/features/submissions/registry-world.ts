/** A small fake of network, membership and time around real registrars and desks. */
import {match, P} from 'ts-pattern';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import {Clock} from '../../../src/base/clock.js';
import type {Disposable} from '../../../src/base/disposable.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {JobAnswer} from '../../../src/base/job-answer.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {Verdict} from '../../../src/base/verdict.js';
import {Registrar} from '../../../src/features/submissions/registrar.js';
import type {RegistryMessage} from '../../../src/features/submissions/registry-message.js';
import {registryMessageSchema} from '../../../src/features/submissions/registry-message-schema.js';
import {RegistrySubmissionDesk} from '../../../src/features/submissions/registry-submission-desk.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import {neverCancelled} from '../../support/never-cancelled.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const home = 'home' as AvailabilityZone;
const stepMilliseconds = 50;
const pingMilliseconds = 500;
const silenceMilliseconds = 2000;
const delistedMilliseconds = 5000;
const listPeriodMilliseconds = 1000;
/** A refused connection proves a death so soon after it. */
const proofMilliseconds = 300;
const retentionMilliseconds = 300_000;

/** A fault put in on purpose, to see that the checks notice it. */
type PlantedBug = 'none' | 'copies are not written' | 'entrants inherit nothing' | 'losses out of touch are trusted';

class NodeClock extends Clock {
	constructor(private readonly read: () => number) {
		super();
	}

	override now(): number {
		return this.read();
	}

	override wallTime(): number {
		return this.read();
	}

	override schedule(): Disposable {
		throw new Error('the world ticks its parts itself');
	}
}

type Node = {
	readonly member: Member;
	readonly registrar: Registrar;
	readonly desk: RegistrySubmissionDesk;
	readonly heardAt: Map<MemberId, number>;
	readonly reachedAt: Map<MemberId, number>;
	readonly known: Map<MemberId, Member>;
	readonly delistedAt: Map<MemberId, number>;
	listedAt: number | undefined;
	state: 'live' | 'dead' | 'left';
	hasEntered: boolean;
	leavingSince: number | undefined;
	pausedUntil: number;
	inbox: Array<() => void>;
};
type Probe = {readonly kind: 'ping' | 'pong'; readonly stamp: number};
type Flight = {readonly at: number; readonly from: MemberId; readonly to: MemberId; readonly message: RegistryMessage | Probe};
type Conclusion = {readonly id: SubmissionId; readonly verdict: Verdict<JobAnswer>; readonly startsThen: number};

/** Three entries of one zone to begin with; every fault is a method. */
export class RegistryWorld {
	now = 1_000_000;
	readonly nodes: Node[] = [];
	/** The claims that were granted and began to run, by id. */
	readonly starts = new Map<SubmissionId, string[]>();
	readonly conclusions: Conclusion[] = [];
	readonly journal = new RecordingJournal();
	#flights: Flight[] = [];
	readonly #cuts = new Set<string>();
	#running: Array<{readonly node: Node; readonly id: SubmissionId; readonly nonce: string; readonly endsAt: number}> = [];
	readonly #losses: Array<{readonly at: number; readonly member: Member; readonly wasHandedOver: boolean}> = [];
	readonly #delisted = new Set<MemberId>();
	#isPlatformAway = false;
	#births = 0;

	constructor(private readonly bug: PlantedBug = 'none', private readonly founders = 3) {
		for (let index = 0; index < founders; index++) {
			this.add();
		}
	}

	get live(): readonly Node[] {
		return this.nodes.filter(node => node.state === 'live');
	}

	/** One more entry of the zone. */
	add(): Node {
		this.#births += 1;
		const instance = `entry-${this.#births}` as InstanceId;
		const member: Member = {
			id: `${instance}#1` as MemberId, instance, zone: home, peerAddress: `127.0.0.1:${this.#births}`,
		};
		const node = this.#createNode(member);
		for (const other of this.live) {
			other.known.set(member.id, member);
			node.known.set(other.member.id, other.member);
			other.heardAt.set(member.id, this.now);
			node.heardAt.set(other.member.id, this.now);
			node.reachedAt.set(other.member.id, this.now);
			other.reachedAt.set(member.id, this.now);
		}

		this.nodes.push(node);
		return node;
	}

	/** A copy of a submission arrives at an entry. */
	submit(node: Node, id: SubmissionId, runMilliseconds = 300): void {
		if (node.state !== 'live' || !this.#isAwake(node)) {
			return;
		}

		void this.#claim(node, id, runMilliseconds);
	}

	kill(node: Node): void {
		if (node.state === 'live') {
			node.state = 'dead';
			this.#losses.push({at: this.now + proofMilliseconds, member: node.member, wasHandedOver: false});
		}
	}

	/** Stops an entry for a while; what arrives meanwhile is delivered when it wakes. */
	pause(node: Node, milliseconds: number): void {
		node.pausedUntil = Math.max(node.pausedUntil, this.now + milliseconds);
	}

	/** Begins a graceful end. */
	leave(node: Node): void {
		if (node.state === 'live' && node.leavingSince === undefined) {
			node.leavingSince = this.now;
			node.registrar.leave();
		}
	}

	/** Swallows what goes from one entry to the other, from now on. */
	cut(from: Node, to: Node): void {
		this.#cuts.add(`${from.member.id}|${to.member.id}`);
	}

	heal(): void {
		this.#cuts.clear();
		this.#isPlatformAway = false;
	}

	/** The list and the log can't be read by anyone. */
	losePlatform(): void {
		this.#isPlatformAway = true;
	}

	/** The platform drops an entry from its list although it lives. */
	delist(node: Node): void {
		this.#delisted.add(node.member.id);
	}

	/** Lets time pass in small steps. */
	async advance(milliseconds: number): Promise<void> {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			this.#step();
			// Claims resolve as promises; their continuations run before the next step.
			for (let turns = 0; turns < 4; turns++) {
				await Promise.resolve();
			}
		}
	}

	#createNode(member: Member): Node {
		const known = new Map<MemberId, Member>();
		const heardAt = new Map<MemberId, number>();
		const reachedAt = new Map<MemberId, number>();
		const read = () => this.now;
		const clock = new NodeClock(read);
		const {journal} = this;
		const send = (to: MemberId, message: RegistryMessage) => {
			this.#send(member.id, to, message);
		};

		const isSilent = (id: MemberId) => id !== member.id && read() - (heardAt.get(id) ?? Number.NEGATIVE_INFINITY) > silenceMilliseconds;
		const node: Node = {
			member,
			known,
			heardAt,
			reachedAt,
			delistedAt: new Map(),
			listedAt: undefined,
			state: 'live',
			hasEntered: false,
			leavingSince: undefined,
			pausedUntil: 0,
			inbox: [],
			registrar: new Registrar({
				self: member,
				clock,
				journal,
				send,
				retentionMilliseconds,
				limitBytes: 1_000_000,
				surroundings: {
					get listedAt() {
						return node.listedAt;
					},
					get neighbours() {
						return [...known.values()];
					},
					hasUnresolved: false,
					isSilent,
					isOutOfTouch: id => this.bug !== 'losses out of touch are trusted' && read() - (reachedAt.get(id) ?? 0) >= silenceMilliseconds,
					memberOf: id => id === member.id ? member : known.get(id),
				},
			}),
			desk: new RegistrySubmissionDesk({
				self: member.id, zones: [home], clock, journal, send, isSilent, membersOf: () => [member, ...known.values()],
			}),
		};
		return node;
	}

	async #claim(node: Node, id: SubmissionId, runMilliseconds: number): Promise<void> {
		const claim = await node.desk.claim({id, fingerprint: 'same', deadlineAt: this.now + 8000}, neverCancelled);
		if (node.state === 'dead') {
			return;
		}

		const starts = this.starts.get(id) ?? [];
		if (claim.kind === 'concluded') {
			this.conclusions.push({id, verdict: claim.verdict, startsThen: starts.length});
			return;
		}

		this.starts.set(id, [...starts, claim.nonce]);
		this.#running.push({
			node, id, nonce: claim.nonce, endsAt: this.now + runMilliseconds,
		});
	}

	#send(from: MemberId, to: MemberId, message: RegistryMessage | Probe): void {
		if (this.bug === 'copies are not written' && message.kind === 'copy') {
			const {id, nonce, version} = message.record;
			this.#flights.push({
				at: this.now, from: to, to: from, message: {
					kind: 'copied', id, nonce, version,
				},
			});
			return;
		}

		const sent = this.bug === 'entrants inherit nothing' && message.kind === 'state' ? {...message, records: []} : message;
		this.#flights.push({
			at: this.now + (from === to ? 0 : 1), from, to, message: sent,
		});
	}

	#isAwake(node: Node): boolean {
		return node.pausedUntil <= this.now;
	}

	#step(): void {
		this.#deliverLosses();
		for (const node of this.live) {
			if (this.#isAwake(node)) {
				this.#stepNode(node);
			}
		}

		// What is sent in answer within the step is delivered in it, as on a fast network.
		for (let round = 0; round < 8 && this.#flights.length > 0; round++) {
			this.#deliverFlights();
		}

		this.#endRuns();
	}

	#stepNode(node: Node): void {
		const {inbox} = node;
		node.inbox = [];
		for (const deliver of inbox) {
			deliver();
		}

		this.#readList(node);
		if (!node.hasEntered && node.listedAt !== undefined) {
			node.hasEntered = true;
			// The zone is new for those who are there from the beginning, and for nobody else.
			node.registrar.enter(this.nodes.indexOf(node) < this.founders ? 0 : this.now);
		}

		node.registrar.tick();
		node.desk.tick();
		if (this.now % pingMilliseconds === 0) {
			for (const id of node.known.keys()) {
				this.#send(node.member.id, id, {kind: 'ping', stamp: this.now});
			}
		}

		this.#finishLeaving(node);
	}

	#finishLeaving(node: Node): void {
		if (node.leavingSince === undefined) {
			return;
		}

		const isWhole = node.registrar.hasHandedOver;
		if (!isWhole && this.now - node.leavingSince < 3000) {
			return;
		}

		if (isWhole) {
			node.registrar.farewell();
		}

		// Its last messages are under way when the process ends.
		this.#deliverFlights();
		node.state = 'left';
		this.#losses.push({at: this.now + proofMilliseconds, member: node.member, wasHandedOver: isWhole});
	}

	#readList(node: Node): void {
		if (this.#isPlatformAway || this.now % listPeriodMilliseconds !== 0) {
			return;
		}

		if (!this.#delisted.has(node.member.id)) {
			node.listedAt = this.now;
		}

		for (const [id, member] of node.known) {
			if (!this.#delisted.has(id)) {
				node.delistedAt.delete(id);
				continue;
			}

			const delistedAt = node.delistedAt.get(id) ?? this.now;
			node.delistedAt.set(id, delistedAt);
			if (this.now - Math.max(delistedAt, node.heardAt.get(id) ?? 0) > delistedMilliseconds) {
				node.known.delete(id);
				node.registrar.memberLost(member.id, false);
			}
		}
	}

	#deliverLosses(): void {
		for (const loss of this.#losses) {
			for (const node of this.live) {
				if (loss.at <= this.now && node.known.has(loss.member.id)) {
					this.#reach(node, () => {
						node.known.delete(loss.member.id);
						node.registrar.memberLost(loss.member.id, loss.wasHandedOver);
					});
				}
			}
		}
	}

	#deliverFlights(): void {
		const flights = this.#flights;
		this.#flights = [];
		for (const flight of flights) {
			const node = this.nodes.find(({member}) => member.id === flight.to);
			const isCut = this.#cuts.has(`${flight.from}|${flight.to}`);
			if (node?.state === 'live' && !isCut) {
				this.#reach(node, () => {
					this.#arrive(node, flight);
				});
			}
		}
	}

	#reach(node: Node, deliver: () => void): void {
		if (this.#isAwake(node)) {
			deliver();
		} else {
			node.inbox.push(deliver);
		}
	}

	#arrive(node: Node, {from, message}: Flight): void {
		node.heardAt.set(from, this.now);
		if (message.kind === 'ping' || message.kind === 'pong') {
			this.#arriveProbe(node, from, message);
			return;
		}

		const checked = registryMessageSchema.parse(message);
		match(checked)
			.with({kind: P.union('granted', 'waiting', 'concluded', 'redirect', 'settled', 'cancelRequested')}, reply => {
				node.desk.receive(from, reply);
			})
			.otherwise(request => {
				node.registrar.receive(from, request);
			});
	}

	#arriveProbe(node: Node, from: MemberId, {kind, stamp}: Probe): void {
		if (kind === 'ping') {
			this.#send(node.member.id, from, {kind: 'pong', stamp});
		} else {
			node.reachedAt.set(from, stamp);
		}
	}

	#endRuns(): void {
		const ended = this.#running.filter(run => run.endsAt <= this.now && this.#isAwake(run.node));
		this.#running = this.#running.filter(run => !ended.includes(run));
		for (const {node, id, nonce} of ended) {
			if (node.state === 'live') {
				node.desk.settle(id, nonce, {kind: 'answered', answer: {kind: 'complete', results: [`${id} by ${nonce}`]}});
			}
		}
	}
}
