/** Runs real registrars and clients on a simulated network, membership and clock. */
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
import type {InjectedBug} from './injected-bug.js';
import {SimulatedNetwork} from './simulated-network.js';
import type {RegistryNode} from './registry-node.js';

const home = 'home' as AvailabilityZone;
const stepMilliseconds = 50;
const pingMilliseconds = 500;
const delistedMilliseconds = 5000;
const listPeriodMilliseconds = 1000;
/** Time until a refused connection reveals the end of an entry. */
const lossDetectionMilliseconds = 300;

type Envelope = ReturnType<SimulatedNetwork['take']>[number];
type Conclusion = {readonly id: SubmissionId; readonly verdict: Verdict<JobAnswer>; readonly startsAtConclusion: number};

/** Simulates the entries of one zone; each fault is a method. */
export class RegistrySimulation {
	now = 1_000_000;
	readonly nodes: RegistryNode[] = [];
	/** Nonces of the claims that were granted and started, by id. */
	readonly starts = new Map<SubmissionId, string[]>();
	readonly conclusions: Conclusion[] = [];
	readonly journal = new RecordingJournal();
	readonly #network: SimulatedNetwork;
	#running: Array<{readonly node: RegistryNode; readonly id: SubmissionId; readonly nonce: string; readonly endsAt: number}> = [];
	readonly #losses: Array<{readonly at: number; readonly member: Member; readonly wasHandedOver: boolean}> = [];
	readonly #delisted = new Set<MemberId>();
	#isListUnavailable = false;
	#createdNodes = 0;

	constructor(private readonly bug: InjectedBug = 'none', private readonly initialNodes = 3) {
		this.#network = new SimulatedNetwork(bug, () => this.now);
		for (let index = 0; index < initialNodes; index++) {
			this.add();
		}
	}

	get live(): readonly RegistryNode[] {
		return this.nodes.filter(node => node.state === 'live');
	}

	/** Adds an entry to the zone. */
	add(): RegistryNode {
		this.#createdNodes += 1;
		const instance = `entry-${this.#createdNodes}` as InstanceId;
		const member: Member = {
			id: `${instance}#1` as MemberId, instance, zone: home, peerAddress: `127.0.0.1:${this.#createdNodes}`,
		};
		const node = createRegistryNode(member, {
			bug: this.bug, now: () => this.now, network: this.#network, journal: this.journal,
		});
		for (const other of this.live) {
			introduce(node, other, this.now);
			introduce(other, node, this.now);
		}

		this.nodes.push(node);
		return node;
	}

	/** Submits a job to an entry. */
	submit(node: RegistryNode, id: SubmissionId, runMilliseconds = 300): void {
		if (node.state !== 'live' || !this.#isAwake(node)) {
			return;
		}

		void this.#claim(node, id, runMilliseconds);
	}

	kill(node: RegistryNode): void {
		if (node.state === 'live') {
			node.state = 'dead';
			this.#losses.push({at: this.now + lossDetectionMilliseconds, member: node.member, wasHandedOver: false});
		}
	}

	/** Pauses an entry; messages that arrive meanwhile are delivered when it resumes. */
	pause(node: RegistryNode, milliseconds: number): void {
		node.pausedUntil = Math.max(node.pausedUntil, this.now + milliseconds);
	}

	/** Starts a graceful shutdown. */
	leave(node: RegistryNode): void {
		if (node.state === 'live' && node.leavingSince === undefined) {
			node.leavingSince = this.now;
			node.registrar.leave();
		}
	}

	/** Drops all further messages from one entry to the other. */
	cut(from: RegistryNode, to: RegistryNode): void {
		this.#network.cut(from.member.id, to.member.id);
	}

	heal(): void {
		this.#network.heal();
		this.#isListUnavailable = false;
	}

	/** Makes the instance list unavailable to all entries. */
	losePlatform(): void {
		this.#isListUnavailable = true;
	}

	/** Removes a live entry from the instance list. */
	delist(node: RegistryNode): void {
		this.#delisted.add(node.member.id);
	}

	/** Advances the simulated time in small steps. */
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
		const claim = await node.client.claim({id, fingerprint: 'same', deadlineAt: this.now + 8000}, neverCancelled);
		if (node.state === 'dead') {
			return;
		}

		const starts = this.starts.get(id) ?? [];
		if (claim.kind === 'concluded') {
			this.conclusions.push({id, verdict: claim.verdict, startsAtConclusion: starts.length});
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

		// Replies are delivered within the same step.
		for (let round = 0; round < 8 && this.#network.size > 0; round++) {
			this.#deliverMessages();
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
			// Only the initial entries see a new zone.
			node.registrar.join(this.nodes.indexOf(node) < this.initialNodes ? 0 : this.now);
		}

		node.registrar.tick();
		node.client.tick();
		if (this.now % pingMilliseconds === 0) {
			for (const id of node.known.keys()) {
				this.#network.send(node.member.id, id, {kind: 'ping', stamp: this.now});
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
			node.registrar.announceLeave();
		}

		// Delivers the last messages before the process ends.
		this.#deliverMessages();
		node.state = 'left';
		this.#losses.push({at: this.now + lossDetectionMilliseconds, member: node.member, wasHandedOver: isWhole});
	}

	#readList(node: RegistryNode): void {
		if (this.#isListUnavailable || this.now % listPeriodMilliseconds !== 0) {
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
					this.#deliverOrQueue(node, () => {
						node.known.delete(loss.member.id);
						node.registrar.memberLost(loss.member.id, loss.wasHandedOver);
					});
				}
			}
		}
	}

	#deliverMessages(): void {
		for (const envelope of this.#network.take()) {
			const node = this.nodes.find(({member}) => member.id === envelope.to);
			if (node?.state === 'live') {
				this.#deliverOrQueue(node, () => {
					this.#receive(node, envelope);
				});
			}
		}
	}

	#deliverOrQueue(node: RegistryNode, deliver: () => void): void {
		if (this.#isAwake(node)) {
			deliver();
		} else {
			node.inbox.push(deliver);
		}
	}

	#receive(node: RegistryNode, {from, message}: Envelope): void {
		node.heardAt.set(from, this.now);
		if (message.kind === 'ping' || message.kind === 'pong') {
			this.#receiveProbe(node, from, message);
			return;
		}

		const checked = registryMessageSchema.parse(message);
		match(checked)
			.with({kind: P.union('granted', 'waiting', 'concluded', 'redirect', 'settled', 'cancelRequested')}, reply => {
				node.client.receive(from, reply);
			})
			.otherwise(request => {
				node.registrar.receive(from, request);
			});
	}

	#receiveProbe(node: RegistryNode, from: MemberId, {kind, stamp}: Extract<Envelope['message'], {kind: 'ping' | 'pong'}>): void {
		if (kind === 'ping') {
			this.#network.send(node.member.id, from, {kind: 'pong', stamp});
		} else {
			node.reachedAt.set(from, stamp);
		}
	}

	#endRuns(): void {
		const ended = this.#running.filter(run => run.endsAt <= this.now && this.#isAwake(run.node));
		this.#running = this.#running.filter(run => !ended.includes(run));
		for (const {node, id, nonce} of ended) {
			if (node.state === 'live') {
				node.client.settle(id, nonce, {kind: 'answered', answer: {kind: 'complete', results: [`${id} by ${nonce}`]}});
			}
		}
	}
}
