/** The profiles in force, followed from the platform's log and from peers. */
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
import type {Acceptance} from './acceptance.js';
import type {Configuration} from './configuration.js';
import {ConfigurationReplica} from './configuration-replica.js';
import {configurationMessageSchema} from './configuration-message-schema.js';
import {ProfileService} from './profile-service.js';
import type {ProfileRevision} from './profile-revision.js';
import {snapshotOf} from './snapshot-of.js';

const channel = 'configuration';
/** The longest wait of one read; the log answers as soon as there is a record. */
const readWaitMilliseconds = 10_000;
const failedReadPauseMilliseconds = 500;
/** How often an entry tells some peers what it has, changed or not. */
const gossipPeriodMilliseconds = 3000;
/** Of news each entry tells so many others at once: they reach a fleet in rounds that grow with its logarithm. */
const newsFanout = 3;
/** Without news one other is told, in case a message was lost. */
const quietFanout = 1;

type Message = z.output<typeof configurationMessageSchema>;

type LogProfileBookParts = {
	readonly stream: LogStream;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
};

/** Owns the reading loop, the ledger, and the exchange with peers. */
export class LogProfileBook extends ProfileService implements Disposable {
	readonly #ledger = new ConfigurationReplica();
	readonly #advance = new Emitter<Configuration>();
	readonly #cancellation = new CancellationSource();
	readonly #store = new DisposableStore();
	#problem: string | undefined;

	constructor(private readonly parts: LogProfileBookParts) {
		super();
	}

	override get isLoaded(): boolean {
		return this.#ledger.isLoaded;
	}

	override get configuration(): Configuration {
		return this.#ledger.configuration;
	}

	override get onDidChangeConfiguration() {
		return this.#advance.event;
	}

	/** See the ledger. */
	get latestSnapshot(): number | undefined {
		return this.#ledger.latestSnapshot;
	}

	/** What is wrong with the log at present, for the status. */
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
			this.#gossip(quietFanout);
		}));
		void this.#follow();
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#store.dispose();
		this.#advance.dispose();
	}

	async #follow(): Promise<void> {
		while (!this.#cancellation.token.isCancellationRequested) {
			const hasProgress = await this.#readOnce();
			if (!hasProgress) {
				await wait(this.parts.clock, failedReadPauseMilliseconds);
			}
		}
	}

	/** Returns whether the next read may follow at once. */
	async #readOnce(): Promise<boolean> {
		const wait = this.isLoaded ? readWaitMilliseconds : 0;
		const reading = await this.parts.stream.read(this.#ledger.nextReadOffset, wait, this.#cancellation.token);
		if (reading.kind === 'unavailable') {
			this.#noteProblem('unavailable', reading.detail);
			return false;
		}

		const acceptance = this.#ledger.applyPage(reading.page);
		this.#accept(acceptance, 'log');
		this.#noteProblem(acceptance.problem, `the log ends at ${reading.page.nextOffset}`);
		return acceptance.steps.length > 0;
	}

	#accept(acceptance: Acceptance, source: string): void {
		for (const step of acceptance.steps) {
			this.#describe(step);
		}

		if (acceptance.steps.length === 0) {
			return;
		}

		this.parts.journal.record('configurationAdvanced', {nextOffset: this.configuration.nextOffset, source});
		this.#advance.fire(this.configuration);
		this.#gossip(newsFanout);
	}

	#describe(step: Acceptance['steps'][number]): void {
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

	/** Logs a problem when it begins and when it ends, not at every read. */
	#noteProblem(problem: string | undefined, detail: string): void {
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
			this.#tell({kind: 'need', from: this.configuration.nextOffset}, newsFanout);
			return;
		}

		this.#tell({kind: 'have', nextOffset: this.configuration.nextOffset, digest: this.configuration.digest}, fanout);
	}

	#tell(message: Message, fanout: number): void {
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
				this.#compare(from, nextOffset, digest);
			})
			.with({kind: 'need'}, ({from: offset}) => {
				this.#supply(from, offset);
			})
			.with({kind: 'tail'}, ({from: offset, digest, records}) => {
				this.#acceptFromPeer(from, this.#ledger.acceptTail(offset, digest, records));
			})
			.with({kind: 'state'}, ({snapshot}) => {
				this.#acceptFromPeer(from, this.#ledger.acceptState(snapshot));
			})
			.exhaustive();
	}

	#compare(from: Member, nextOffset: number, digest: string): void {
		const mine = this.configuration;
		if (nextOffset > mine.nextOffset || !this.isLoaded) {
			this.#send(from, {kind: 'need', from: mine.nextOffset});
		} else if (nextOffset === mine.nextOffset && digest !== mine.digest) {
			this.parts.journal.record('peerDisagrees', {peer: from.id, nextOffset});
		} else if (nextOffset < mine.nextOffset) {
			this.#send(from, {kind: 'have', nextOffset: mine.nextOffset, digest: mine.digest});
		}
	}

	#supply(to: Member, from: StreamOffset): void {
		if (!this.isLoaded) {
			return;
		}

		const tail = this.#ledger.tailFrom(from);
		this.#send(to, tail === undefined
			? {kind: 'state', snapshot: snapshotOf(this.configuration)}
			: {
				kind: 'tail', from, digest: tail.digest, records: [...tail.records],
			});
	}

	#acceptFromPeer(peer: Member, acceptance: Acceptance): void {
		if (acceptance.problem !== undefined) {
			this.parts.journal.record('peerDisagrees', {peer: peer.id, nextOffset: this.configuration.nextOffset});
		}

		this.#accept(acceptance, peer.id);
	}
}
