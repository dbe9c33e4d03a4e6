/** A membership that tests control. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import {Emitter} from '../../src/base/emitter.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {MemberLoss} from '../../src/features/membership/member-loss.js';
import {Membership} from '../../src/features/membership/membership.js';
import type {Member} from '../../src/runtime/peers/member.js';
import type {FakeClock} from './fake-clock.js';

/** Members respond immediately until they are silenced. */
export class FakeMembership extends Membership {
	static createMember(instance: string, zone = 'zone-1'): Member {
		return {
			id: `${instance}#1` as MemberId, instance: instance as InstanceId, zone: zone as AvailabilityZone, peerAddress: '127.0.0.1:1',
		};
	}

	override lastListedAt: number | undefined = 0;
	override readonly onDidJoin = new Emitter<Member>().event;
	override readonly onDidLose = new Emitter<MemberLoss>().event;
	readonly #others: Member[] = [];
	readonly #silentSince = new Map<MemberId, number>();

	constructor(override readonly self: Member, private readonly clock: FakeClock) {
		super();
	}

	override get peers(): readonly Member[] {
		return this.#others;
	}

	add(member: Member): void {
		this.#others.push(member);
	}

	remove(member: Member): void {
		this.#others.splice(this.#others.indexOf(member), 1);
	}

	/** Stops all messages from a member from now on. */
	silence(member: Member): void {
		this.#silentSince.set(member.id, this.clock.now());
	}

	override membersInZone(zone: AvailabilityZone): readonly Member[] {
		return [this.self, ...this.#others].filter(member => member.zone === zone);
	}

	override findMember(member: MemberId): Member | undefined {
		return [this.self, ...this.#others].find(({id}) => id === member);
	}

	override hasUnresolvedInstances(): boolean {
		return false;
	}

	override isUnresponsive(member: MemberId): boolean {
		return (this.millisecondsSinceHeard(member) ?? 0) > 2000;
	}

	override millisecondsSinceHeard(member: MemberId): number | undefined {
		return this.clock.now() - (this.#silentSince.get(member) ?? this.clock.now());
	}

	override lastRoundTripAt(member: MemberId): number | undefined {
		return this.#silentSince.get(member) ?? this.clock.now();
	}

	override isRoundTripOverdue(member: MemberId): boolean {
		return this.isUnresponsive(member);
	}

	override announceLeave(): void {
		// There are no peers to notify.
	}
}
