/** Connects this entry's registry client and registrar to the network. */
import {match, P} from 'ts-pattern';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {Settings} from '../../runtime/settings/settings.js';
import type {Membership} from '../membership/membership.js';
import {Registrar} from './registrar.js';
import type {RegistrarEnvironment} from './registrar-environment.js';
import type {RegistryMessage} from './registry-message.js';
import {registryMessageSchema} from './registry-message-schema.js';
import {RemoteRegistryClient} from './remote-registry-client.js';
import type {ZoneHistory} from './zone-history.js';

const channel = 'registry';
const bytesPerMegabyte = 1_048_576;
/** Interval at which an entry checks whether it is on the instance list and whether it has joined the group. */
const listPollMilliseconds = 100;
const handoverPollMilliseconds = 20;

type SubmissionRegistryParts = {
	readonly settings: Settings;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	readonly zoneHistory: ZoneHistory;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Owns the client and the registrar, and dispatches messages between them and the network. */
export class SubmissionRegistry implements Disposable {
	readonly client: RemoteRegistryClient;
	readonly registrar: Registrar;
	readonly #store = new DisposableStore();
	readonly #cancellation = new CancellationSource();

	constructor(private readonly parts: SubmissionRegistryParts) {
		const {settings, membership, clock, journal} = parts;
		const send = (to: MemberId, message: RegistryMessage) => {
			this.#send(to, message);
		};

		this.client = new RemoteRegistryClient({
			self: membership.self.id,
			zones: settings.entry.zones,
			clock,
			journal,
			membersOf: zone => membership.membersInZone(zone),
			isSilent: member => member !== membership.self.id && membership.isUnresponsive(member),
			send,
		});
		this.registrar = new Registrar({
			self: membership.self,
			clock,
			journal,
			environment: environmentOf(membership),
			send,
			retentionMilliseconds: settings.registry.retentionMilliseconds,
			limitBytes: settings.registry.memoryMegabytes * bytesPerMegabyte,
		});
	}

	start(): void {
		const {network, membership, clock} = this.parts;
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(membership.onDidLose(({member, manner}) => {
			this.registrar.memberLost(member.id, manner === 'left');
		}));
		this.#store.add(repeat(clock, Registrar.tickMilliseconds, () => {
			this.registrar.tick();
		}));
		this.#store.add(repeat(clock, RemoteRegistryClient.tickMilliseconds, () => {
			this.client.tick();
		}));
		void this.#joinGroup();
	}

	/** Hands the records over and resolves once the other members have acknowledged them; the caller applies a timeout. */
	async leave(): Promise<void> {
		this.registrar.leave();
		while (!(this.registrar.hasHandedOver && this.client.hasSettledAll)) {
			await wait(this.parts.clock, handoverPollMilliseconds);
		}

		this.registrar.announceLeave();
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#store.dispose();
	}

	/** Joins the group once this entry is on the instance list, so that entries that join later see it. */
	async #joinGroup(): Promise<void> {
		const {membership, zoneHistory, clock, journal, settings} = this.parts;
		const {zone} = membership.self;
		const {token} = this.#cancellation;
		while (membership.lastListedAt === undefined) {
			await wait(this.parts.clock, listPollMilliseconds);
		}

		const isNew = await zoneHistory.isNewZone(zone, member => membership.findMember(member) !== undefined, token);
		const coverageStart = isNew ? 0 : clock.wallTime();
		this.registrar.join(coverageStart);
		while (!this.registrar.isActive) {
			await wait(this.parts.clock, listPollMilliseconds);
		}

		if (this.registrar.isFirstMember && !isNew) {
			journal.record('vouchingLimited', {zone, forMilliseconds: settings.registry.retentionMilliseconds, detail: 'no active registrar of the zone could provide its records'});
		}

		await zoneHistory.recordStart(zone, membership.self.id, token);
	}

	#send(to: MemberId, message: RegistryMessage): void {
		const {membership, network} = this.parts;
		if (to === membership.self.id) {
			queueMicrotask(() => {
				this.#deliver(to, message);
			});
			return;
		}

		const member = membership.findMember(to);
		if (member !== undefined) {
			network.send(member, {channel, body: message});
		}
	}

	#receive(from: Member, body: unknown): void {
		const checked = registryMessageSchema.safeParse(body);
		if (!checked.success) {
			this.parts.journal.record('peerMessageUnreadable', {peer: from.id, channel});
			return;
		}

		this.#deliver(from.id, checked.data);
	}

	#deliver(from: MemberId, message: RegistryMessage): void {
		match(message)
			.with({kind: P.union('granted', 'waiting', 'concluded', 'redirect', 'settled', 'cancelRequested')}, reply => {
				this.client.receive(from, reply);
			})
			.otherwise(request => {
				this.registrar.receive(from, request);
			});
	}
}

function environmentOf(membership: Membership): RegistrarEnvironment {
	return {
		get listedAt() {
			return membership.lastListedAt;
		},
		get peers() {
			return membership.membersInZone(membership.self.zone).filter(member => member.id !== membership.self.id);
		},
		get hasUnresolvedPeers() {
			return membership.hasUnresolvedInstances(membership.self.zone);
		},
		isContactStale: member => membership.isRoundTripOverdue(member),
		isSilent: member => membership.isUnresponsive(member),
		memberOf: member => membership.findMember(member),
	};
}
