/** Profiles replicated from the platform's log and from peers. */
import {match} from 'ts-pattern';
import type {z} from 'zod';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {Random} from '../../base/random.js';
import {repeat} from '../../base/repeat.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {Membership} from '../membership/membership.js';
import type {ApplyResult} from './apply-result.js';
import type {Configuration} from './configuration.js';
import {ConfigurationReplica} from './configuration-replica.js';
import {configurationMessageSchema} from './configuration-message-schema.js';
import {ProfileService} from './profile-service.js';
import type {ProfileRevision} from './profile-revision.js';
import {snapshotOf} from './snapshot-of.js';

const channel = 'configuration';
/** Long-poll timeout of a read; the log replies as soon as a record is available. */
const readWaitMilliseconds = 10_000;
const failedReadDelayMilliseconds = 500;
/** Interval at which an entry sends its offset and digest to random peers. */
const gossipPeriodMilliseconds = 3000;
/** Peers informed of an update at once. Updates reach all entries in a number of rounds logarithmic in the fleet size. */
const updateFanout = 3;
/** Peers informed periodically without an update, to recover from lost messages. */
const idleFanout = 1;

type Message = z.output<typeof configurationMessageSchema>;

type ReplicatedProfileServiceParts = {
	readonly stream: LogStream;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
};

/** Runs the read loop, owns the configuration replica and exchanges updates with peers by gossip. */
export class ReplicatedProfileService extends ProfileService implements Disposable {
	readonly #replica = new ConfigurationReplica();
	readonly #changeEmitter = new Emitter<Configuration>();
	readonly #cancellation = new CancellationSource();
	readonly #store = new DisposableStore();
	#problem: string | undefined;

	constructor(private readonly parts: ReplicatedProfileServiceParts) {
		super();
	}

	override get isLoaded(): boolean {
		return this.#replica.isLoaded;
	}

	override get configuration(): Configuration {
		return this.#replica.configuration;
	}

	override get onDidChangeConfiguration() {
		return this.#changeEmitter.event;
	}

	/** Offset of the latest snapshot record that was folded. */
	get latestSnapshot(): number | undefined {
		return this.#replica.latestSnapshot;
	}

	/** Current problem with the log, shown in the status. */
	get problem(): string | undefined {
		return this.#problem;
	}

	override profileNamed(name: ProfileName): ProfileRevision | undefined {
		return this.configuration.profiles.get(name);
	}

	start(): void {
		this.#store.add(this.parts.network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(repeat(this.parts.clock, gossipPeriodMilliseconds, () => {
			this.#gossip(idleFanout);
		}));
		void this.#follow();
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#store.dispose();
		this.#changeEmitter.dispose();
	}

	async #follow(): Promise<void> {
		while (!this.#cancellation.token.isCancellationRequested) {
			const hasProgress = await this.#readOnce();
			if (!hasProgress) {
				await wait(this.parts.clock, failedReadDelayMilliseconds);
			}
		}
	}

	/** Returns whether to read again without delay. */
	async #readOnce(): Promise<boolean> {
		const wait = this.isLoaded ? readWaitMilliseconds : 0;
		const reading = await this.parts.stream.read(this.#replica.nextReadOffset, wait, this.#cancellation.token);
		if (reading.kind === 'unavailable') {
			this.#reportProblem('unavailable', reading.detail);
			return false;
		}

		const result = this.#replica.applyPage(reading.page);
		this.#publishSteps(result, 'log');
		this.#reportProblem(result.problem, `the log ends at ${reading.page.nextOffset}`);
		return result.steps.length > 0;
	}

	#publishSteps(result: ApplyResult, source: string): void {
		for (const step of result.steps) {
			this.#logStep(step);
		}

		if (result.steps.length === 0) {
			return;
		}

		this.parts.journal.record('configurationAdvanced', {nextOffset: this.configuration.nextOffset, source});
		this.#changeEmitter.fire(this.configuration);
		this.#gossip(updateFanout);
	}

	#logStep(step: ApplyResult['steps'][number]): void {
		const offset = step.configuration.nextOffset - 1;
		if (step.skipped !== undefined) {
			const event = step.skipped.kind === 'newer' ? 'newerRecordSkipped' : 'recordSkipped';
			this.parts.journal.record(event, {offset, detail: step.skipped.detail});
		}

		if (step.outcome !== undefined) {
			const {kind, name, changeId} = step.outcome;
			const cause = step.outcome.kind === 'rejected' ? step.outcome.cause : undefined;
			this.parts.journal.record(kind === 'accepted' ? 'changeAccepted' : 'changeRejected', {
				offset, name, changeId, cause,
			});
		}
	}

	/** Logs a problem when it starts and when it ends, not on every read. */
	#reportProblem(problem: string | undefined, detail: string): void {
		if (problem === this.#problem) {
			return;
		}

		this.#problem = problem;
		if (problem === undefined) {
			this.parts.journal.record('logFollowed', {nextOffset: this.configuration.nextOffset});
		} else if (problem === 'unavailable') {
			this.parts.journal.record('logAway', {detail});
		} else {
			this.parts.journal.record('logDisagrees', {problem, nextOffset: this.configuration.nextOffset, detail});
		}
	}

	#gossip(fanout: number): void {
		if (!this.isLoaded) {
			this.#sendToRandomPeers({kind: 'need', from: this.configuration.nextOffset}, updateFanout);
			return;
		}

		this.#sendToRandomPeers({kind: 'have', nextOffset: this.configuration.nextOffset, digest: this.configuration.digest}, fanout);
	}

	#sendToRandomPeers(message: Message, fanout: number): void {
		for (const peer of this.parts.random.sample(this.parts.membership.peers, fanout)) {
			this.#send(peer, message);
		}
	}

	#send(peer: Member, message: Message): void {
		this.parts.network.send(peer, {channel, body: message});
	}

	#receive(from: Member, body: unknown): void {
		const checked = configurationMessageSchema.safeParse(body);
		if (!checked.success) {
			this.parts.journal.record('peerMessageUnreadable', {peer: from.id, channel});
			return;
		}

		match(checked.data)
			.with({kind: 'have'}, ({nextOffset, digest}) => {
				this.#compareWithPeer(from, nextOffset, digest);
			})
			.with({kind: 'need'}, ({from: offset}) => {
				this.#sendRecords(from, offset);
			})
			.with({kind: 'tail'}, ({from: offset, digest, records}) => {
				this.#applyFromPeer(from, this.#replica.applyTail(offset, digest, records));
			})
			.with({kind: 'state'}, ({snapshot}) => {
				this.#applyFromPeer(from, this.#replica.applySnapshot(snapshot));
			})
			.exhaustive();
	}

	#compareWithPeer(from: Member, nextOffset: number, digest: string): void {
		const mine = this.configuration;
		if (nextOffset > mine.nextOffset || !this.isLoaded) {
			this.#send(from, {kind: 'need', from: mine.nextOffset});
		} else if (nextOffset === mine.nextOffset && digest !== mine.digest) {
			this.parts.journal.record('peerDisagrees', {peer: from.id, nextOffset});
		} else if (nextOffset < mine.nextOffset) {
			this.#send(from, {kind: 'have', nextOffset: mine.nextOffset, digest: mine.digest});
		}
	}

	#sendRecords(to: Member, from: StreamOffset): void {
		if (!this.isLoaded) {
			return;
		}

		const tail = this.#replica.tailFrom(from);
		this.#send(to, tail === undefined
			? {kind: 'state', snapshot: snapshotOf(this.configuration)}
			: {
				kind: 'tail', from, digest: tail.digest, records: [...tail.records],
			});
	}

	#applyFromPeer(peer: Member, result: ApplyResult): void {
		if (result.problem !== undefined) {
			this.parts.journal.record('peerDisagrees', {peer: peer.id, nextOffset: this.configuration.nextOffset});
		}

		this.#publishSteps(result, peer.id);
	}
}
