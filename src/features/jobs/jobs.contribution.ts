/** Registers the jobs feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {slotClientKey} from '../placement/slot-client-key.js';
import {profileServiceKey} from '../profiles/profile-service-key.js';
import {registryClientKey} from '../submissions/registry-client-key.js';
import {JobService} from './job-service.js';
import {jobServiceKey} from './job-service-key.js';
import {RetryBudget} from './retry-budget.js';
import {VariantGuard} from './variant-guard.js';
import {ZoneSelector} from './zone-selector.js';

contributions.register(new class extends Contribution {
	override readonly name = 'jobs';
	override readonly requires = ['placement', 'profiles', 'submissions'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const {entry} = services.get(runtimeKeys.settings);
		const clock = services.get(runtimeKeys.clock);
		const journal = services.get(runtimeKeys.journal);
		const submissions = services.get(registryClientKey);
		const jobs = new JobService(services.get(profileServiceKey), submissions, {
			clock,
			journal,
			metrics: services.get(runtimeKeys.metrics),
			driver: services.get(runtimeKeys.targetDriver),
			slots: services.get(slotClientKey),
			budget: new RetryBudget(),
			guard: new VariantGuard(journal),
			zones: new ZoneSelector(entry.zone, entry.zones, clock, services.get(runtimeKeys.random)),
		});
		store.add(submissions.onDidRequestCancel(id => {
			jobs.cancel(id);
		}));
		services.provide(jobServiceKey, jobs);
	}
}());
