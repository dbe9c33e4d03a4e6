/** A small fake of network, membership and time around real registrars and desks. */
import {match, P} from 'ts-pattern';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {JobAnswer} from '../../../src/base/job-answer.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {Verdict} from '../../../src/base/verdict.js';
import {registryMessageSchema} from '../../../src/features/submissions/registry-message-schema.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import {neverCancelled} from '../../support/never-cancelled.js';
import {RecordingJournal} from '../../support/recording-journal.js';
import {createRegistryNode} from './create-registry-node.js';
import {introduce} from './introduce.js';
import type {PlantedBug} from './planted-bug.js';
import {RegistryFlights} from './registry-flights.js';
import type {RegistryNode} from './registry-node.js';

const home = 'home' as AvailabilityZone;
const stepMilliseconds = 50;
const pingMilliseconds = 500;
const delistedMilliseconds = 5000;
const listPeriodMilliseconds = 1000;
/** A refused connection proves a death so soon after it. */
const proofMilliseconds = 300;

type Flight = ReturnType<RegistryFlights['take']>[number];
type Conclusion = {readonly id: SubmissionId; readonly verdict: Verdict<JobAnswer>; readonly startsThen: number};

/** Three entries of one zone to begin with; every fault is a method. */
export class RegistryWorld {
	now = 1_000_000;
	readonly nodes: RegistryNode[] = [];
	/** The claims that were granted and began to run, by id. */
	readonly starts = new Map<SubmissionId, string[]>();
	readonly conclusions: Conclusion[] = [];
	readonly journal = new RecordingJournal();
	readonly #flights: RegistryFlights;
	#running: Array<{readonly node: RegistryNode; readonly id: SubmissionId; readonly nonce: string; readonly endsAt: number}> = [];
	readonly #losses: Array<{readonly at: number; readonly member: Member; readonly wasHandedOver: boolean}> = [];
	readonly #delisted = new Set<MemberId>();
	#isPlatformAway = false;
	#births = 0;

	constructor(private readonly bug: PlantedBug = 'none', private readonly founders = 3) {
		this.#flights = new RegistryFlights(bug, () => this.now);
		for (let index = 0; index < founders; index++) {
			this.add();
		}
	}

	get live(): readonly RegistryNode[] {
		return this.nodes.filter(node => node.state === 'live');
	}

	/** One more entry of the zone. */
	add(): RegistryNode {
		this.#births += 1;
		const instance = `entry-${this.#births}` as InstanceId;
		const member: Member = {
			id: `${instance}#1` as MemberId, instance, zone: home, peerAddress: `127.0.0.1:${this.#births}`,
		};
		const node = createRegistryNode(member, {
			bug: this.bug, now: () => this.now, flights: this.#flights, journal: this.journal,
		});
		for (const other of this.live) {
			introduce(node, other, this.now);
			introduce(other, node, this.now);
		}

		this.nodes.push(node);
		return node;
	}

	/** A copy of a submission arrives at an entry. */
	submit(node: RegistryNode, id: SubmissionId, runMilliseconds = 300): void {
		if (node.state !== 'live' || !this.#isAwake(node)) {
			return;
		}

		void this.#claim(node, id, runMilliseconds);
	}

	kill(node: RegistryNode): void {
		if (node.state === 'live') {
			node.state = 'dead';
			this.#losses.push({at: this.now + proofMilliseconds, member: node.member, wasHandedOver: false});
		}
	}

	/** Stops an entry for a while; what arrives meanwhile is delivered when it wakes. */
	pause(node: RegistryNode, milliseconds: number): void {
		node.pausedUntil = Math.max(node.pausedUntil, this.now + milliseconds);
	}

	/** Begins a graceful end. */
	leave(node: RegistryNode): void {
		if (node.state === 'live' && node.leavingSince === undefined) {
			node.leavingSince = this.now;
			node.registrar.leave();
		}
	}

	/** Swallows what goes from one entry to the other, from now on. */
	cut(from: RegistryNode, to: RegistryNode): void {
		this.#flights.cut(from.member.id, to.member.id);
	}

	heal(): void {
		this.#flights.heal();
		this.#isPlatformAway = false;
	}

	/** The list and the log can't be read by anyone. */
	losePlatform(): void {
		this.#isPlatformAway = true;
	}

	/** The platform drops an entry from its list although it lives. */
	delist(node: RegistryNode): void {
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

	async #claim(node: RegistryNode, id: SubmissionId, runMilliseconds: number): Promise<void> {
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

	#isAwake(node: RegistryNode): boolean {
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
		for (let round = 0; round < 8 && this.#flights.size > 0; round++) {
			this.#deliverFlights();
		}

		this.#endRuns();
	}

	#stepNode(node: RegistryNode): void {
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
				this.#flights.send(node.member.id, id, {kind: 'ping', stamp: this.now});
			}
		}

		this.#finishLeaving(node);
	}

	#finishLeaving(node: RegistryNode): void {
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

	#readList(node: RegistryNode): void {
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
		for (const flight of this.#flights.take()) {
			const node = this.nodes.find(({member}) => member.id === flight.to);
			if (node?.state === 'live') {
				this.#reach(node, () => {
					this.#arrive(node, flight);
				});
			}
		}
	}

	#reach(node: RegistryNode, deliver: () => void): void {
		if (this.#isAwake(node)) {
			deliver();
		} else {
			node.inbox.push(deliver);
		}
	}

	#arrive(node: RegistryNode, {from, message}: Flight): void {
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

	#arriveProbe(node: RegistryNode, from: MemberId, {kind, stamp}: Extract<Flight['message'], {kind: 'ping' | 'pong'}>): void {
		if (kind === 'ping') {
			this.#flights.send(node.member.id, from, {kind: 'pong', stamp});
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
