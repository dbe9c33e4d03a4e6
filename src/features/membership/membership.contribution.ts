/** Registers the membership feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {InstanceListMembership} from './instance-list-membership.js';
import {membershipKey} from './membership-key.js';

contributions.register(new class extends Contribution {
	override readonly name = 'membership';
	override readonly requires = [];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		services.provide(membershipKey, store.add(new InstanceListMembership(
			services.get(runtimeKeys.peerNetwork),
			services.get(runtimeKeys.instanceList),
			services.get(runtimeKeys.clock),
			services.get(runtimeKeys.journal),
		)));
	}
}());
