/** Registers the intake feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {jobServiceKey} from '../jobs/job-service-key.js';
import {registryClientKey} from '../submissions/registry-client-key.js';
import {ApiServer} from './api-server.js';
import {apiServerKey} from './api-server-key.js';
import {readinessKey} from './readiness-key.js';
import {statusReportKey} from './status-report-key.js';

contributions.register(new class extends Contribution {
	override readonly name = 'intake';
	override readonly requires = ['jobs', 'submissions'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const {entry, limits} = services.get(runtimeKeys.settings);
		services.provide(apiServerKey, store.add(new ApiServer(
			{
				zone: entry.zone, address: entry.address, port: entry.httpPort, ...limits,
			},
			services.get(jobServiceKey),
			services.get(registryClientKey),
			{readiness: services.get(readinessKey), status: services.get(statusReportKey)},
		)));
	}
}());
